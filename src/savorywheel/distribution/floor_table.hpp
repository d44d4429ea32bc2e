#ifndef SAVORYWHEEL_DISTRIBUTION_FLOOR_TABLE_HPP
#define SAVORYWHEEL_DISTRIBUTION_FLOOR_TABLE_HPP

#include <savorywheel/core/config_version.hpp>
#include <savorywheel/core/names.hpp>

#include <cstddef>
#include <list>
#include <map>

namespace savorywheel {

/** @brief Maximum stored floors; the least recently updated one is evicted first. */
inline constexpr std::size_t max_stored_floors = 1024;

/** @brief Version floors that this node stores as a replica for other nodes. */
class floor_table {
public:
    /**
     * @brief Stores a floor; never lowers a stored one.
     * @param node Owner of the floor.
     * @param version Lowest version that the owner may use.
     */
    void put(const node_id& node, config_version version);

    /** @return The floor of a node; zero if none is stored. */
    [[nodiscard]] config_version find(const node_id& node) const;

    [[nodiscard]] std::size_t size() const noexcept { return floors_.size(); }

private:
    struct entry {
        config_version version;
        std::list<node_id>::iterator position;
    };

    std::map<node_id, entry> floors_;
    std::list<node_id> by_last_update_;
};

} // namespace savorywheel

#endif
