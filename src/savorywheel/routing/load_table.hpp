#ifndef SAVORYWHEEL_ROUTING_LOAD_TABLE_HPP
#define SAVORYWHEEL_ROUTING_LOAD_TABLE_HPP

#include <savorywheel/core/clock.hpp>
#include <savorywheel/core/names.hpp>
#include <savorywheel/traffic/gate_load.hpp>

#include <cstdint>
#include <map>
#include <mutex>

namespace savorywheel {

/**
 * @brief Estimates the load of endpoints; thread-safe.
 *
 * Combines this node's own calls in flight, which are counted exactly, with the load that gates
 * report in each response. The reported part decays exponentially with its age.
 */
class load_table {
public:
    /** @brief Counts a call that was sent to the endpoint. */
    void begin(const node_id& endpoint);

    /** @brief Removes a finished call from the calls in flight. */
    void end(const node_id& endpoint);

    /** @brief Stores the load that the gate of the endpoint reported. */
    void report(const node_id& endpoint, const gate_load& load, monotonic_time now);

    /** @return Calls of this node in flight at the endpoint. */
    [[nodiscard]] std::uint32_t in_flight(const node_id& endpoint) const;

    /** @return Estimated number of calls of all nodes at the endpoint. */
    [[nodiscard]] double expected_calls(const node_id& endpoint, monotonic_time now) const;

    /** @return Mean service time of a call at the endpoint; zero if not reported yet. */
    [[nodiscard]] duration service_time(const node_id& endpoint) const;

private:
    struct entry {
        std::uint32_t in_flight{};
        std::uint32_t calls_of_other_nodes{};
        duration service_time{};
        monotonic_time reported_at;
    };

    mutable std::mutex mutex_;
    std::map<node_id, entry> entries_;
};

} // namespace savorywheel

#endif
