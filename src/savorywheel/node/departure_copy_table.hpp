#ifndef SAVORYWHEEL_NODE_DEPARTURE_COPY_TABLE_HPP
#define SAVORYWHEEL_NODE_DEPARTURE_COPY_TABLE_HPP

#include <savorywheel/core/clock.hpp>
#include <savorywheel/core/names.hpp>
#include <savorywheel/traffic/backend_departures.hpp>

#include <cstddef>
#include <map>

namespace savorywheel {

/** @brief Departures that this node keeps for other nodes, for a limited time. */
class departure_copy_table {
public:
    /** @brief Replaces the departures of a node; the oldest entry is dropped if there are many. */
    void put(const node_id& owner, const backend_departures& departures, monotonic_time now);

    /** @return The departures of a node; nullptr if there are none or they have expired. */
    [[nodiscard]] const backend_departures* find(const node_id& owner, monotonic_time now) const;

    /** @return Number of nodes with departures. */
    [[nodiscard]] std::size_t size() const noexcept { return entries_.size(); }

private:
    struct entry {
        backend_departures departures;
        monotonic_time changed_at;
    };

    std::map<node_id, entry> entries_;
};

} // namespace savorywheel

#endif
