#ifndef SAVORYWHEEL_DISTRIBUTION_FLOOR_TABLE_HPP
#define SAVORYWHEEL_DISTRIBUTION_FLOOR_TABLE_HPP

#include <savorywheel/core/config_version.hpp>
#include <savorywheel/core/names.hpp>

#include <cstddef>
#include <list>
#include <map>

namespace savorywheel {

/** @brief Floors that a node keeps for other nodes at most; the least recent one goes first. */
inline constexpr std::size_t max_stored_floors = 1024;

/** @brief Floors that a node remembers for the nodes whose buddy it is. */
class floor_table {
public:
    /**
     * @brief Remembers a floor; a lower one than known changes nothing.
     * @param node Node that the floor belongs to.
     * @param version Lowest version that the node may use.
     */
    void put(const node_id& node, config_version version);

    /** @return The node's floor; zero if none is known. */
    [[nodiscard]] config_version find(const node_id& node) const;

    /** @return Number of floors. */
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
