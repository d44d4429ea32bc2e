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
 * @brief Load of endpoints, as this node knows it; any thread may use it.
 *
 * It counts this node's own outstanding calls, and keeps what gates say of all calls with each
 * answer. What a gate said counts for less the older it is.
 */
class load_table {
public:
    /** @brief Counts a call that begins. */
    void begin(const node_id& endpoint);

    /** @brief Counts a call that ended. */
    void end(const node_id& endpoint);

    /** @brief Takes what a gate said. */
    void report(const node_id& endpoint, const gate_load& load, monotonic_time now);

    /** @return Calls of this node that are outstanding at the endpoint. */
    [[nodiscard]] std::uint32_t in_flight(const node_id& endpoint) const;

    /** @return Calls of all nodes that are probably at the endpoint. */
    [[nodiscard]] double expected_calls(const node_id& endpoint, monotonic_time now) const;

    /** @return Mean time of a call at the endpoint; zero if its gate has not said. */
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
