#ifndef SAVORYWHEEL_TRAFFIC_CALL_PLACEMENT_HPP
#define SAVORYWHEEL_TRAFFIC_CALL_PLACEMENT_HPP

#include <savorywheel/core/names.hpp>
#include <savorywheel/metrics/metric_registry.hpp>
#include <savorywheel/routing/load_table.hpp>
#include <savorywheel/routing/work_estimate.hpp>
#include <savorywheel/traffic/call_request.hpp>
#include <savorywheel/traffic/call_response.hpp>

namespace savorywheel {

/**
 * @brief Learns the work of calls and the speed of endpoints from the attempts of a proxy, and
 * counts how well the expectations agree with the service times; not thread-safe.
 */
class call_placement {
public:
    /**
     * @param loads Loads of endpoints, updated with each attempt; must outlive this object.
     * @param metrics Receives the counters; must outlive this object.
     */
    call_placement(load_table& loads, metric_registry& metrics);

    /** @return Expected work of the call. */
    [[nodiscard]] expected_work expected(const call_request& call) const;

    /**
     * @brief Records that a call is sent.
     * @return What end() needs to know about it.
     */
    [[nodiscard]] sent_call begin(const call_request& call, const node_id& endpoint,
                                  monotonic_time now);

    /** @brief Records the outcome of a call that was sent. */
    void end(const call_request& call, const node_id& endpoint, const sent_call& sent,
             const call_response& outcome, monotonic_time now);

private:
    using counter = metric_registry::counter;

    void learn(const call_request& call, const node_id& endpoint, const sent_call& sent,
               duration run_time, monotonic_time now);

    load_table& loads_;
    work_estimate work_;
    counter& by_work_;
    counter& by_count_;
    counter& expected_us_;
    counter& actual_us_;
    counter& error_us_;
};

} // namespace savorywheel

#endif
