#ifndef SAVORYWHEEL_ROUTING_LOAD_TABLE_HPP
#define SAVORYWHEEL_ROUTING_LOAD_TABLE_HPP

#include <savorywheel/core/clock.hpp>
#include <savorywheel/core/names.hpp>
#include <savorywheel/routing/decayed_mean.hpp>
#include <savorywheel/routing/endpoint_candidate.hpp>
#include <savorywheel/routing/endpoint_load.hpp>
#include <savorywheel/routing/endpoint_speed.hpp>
#include <savorywheel/routing/remaining_work.hpp>
#include <savorywheel/routing/sent_call.hpp>
#include <savorywheel/traffic/gate_load.hpp>

#include <cstdint>
#include <mutex>
#include <span>
#include <unordered_map>

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
    void begin(const node_id& endpoint, const sent_call& call = {});

    /** @brief Removes a finished call, equal to that given to begin(), from the calls in flight. */
    void end(const node_id& endpoint, const sent_call& call = {});

    /** @brief Stores the load that the gate of the endpoint reported. */
    void report(const node_id& endpoint, const gate_load& load, monotonic_time now);

    /**
     * @brief Records the service time of a call, to learn the speed of the endpoint.
     * @param endpoint Endpoint that ran the call.
     * @param run_time Service time.
     * @param typical Geometric mean of the service time of such calls at average speed.
     * @param total Time from sending the call to receiving the response.
     */
    void record_run(const node_id& endpoint, duration run_time, duration typical, duration total);

    /**
     * @brief Sets the loads of all candidates, under one lock.
     * @param candidates Endpoints of one service; their reported service times are compared.
     * @param now Current time.
     */
    void read(std::span<endpoint_candidate> candidates, monotonic_time now);

    /** @return Load of one endpoint. */
    [[nodiscard]] endpoint_load load_of(const node_id& endpoint, monotonic_time now) const;

    /** @return Calls of this node in flight at the endpoint. */
    [[nodiscard]] std::uint32_t in_flight(const node_id& endpoint) const;

private:
    struct entry {
        std::uint32_t in_flight{};
        std::uint32_t calls_of_other_nodes{};
        duration service_time{};
        /** Of the latest reports, in nanoseconds. */
        decayed_mean mean_service_time{report_window};
        monotonic_time reported_at;
        remaining_work work;
        endpoint_speed speed;
    };

    [[nodiscard]] static endpoint_load load_of(const entry& item, monotonic_time now);

    /** The means that a gate reports with a second in between are nearly independent; more than
     * four would take too long to show that a backend server has become slow. */
    static constexpr std::uint32_t report_window = 4;

    mutable std::mutex mutex_;
    std::unordered_map<node_id, entry> entries_;
};

} // namespace savorywheel

#endif
