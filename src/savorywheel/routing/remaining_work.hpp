#ifndef SAVORYWHEEL_ROUTING_REMAINING_WORK_HPP
#define SAVORYWHEEL_ROUTING_REMAINING_WORK_HPP

#include <savorywheel/core/clock.hpp>
#include <savorywheel/routing/sent_call.hpp>

#include <vector>

namespace savorywheel {

/**
 * @brief Estimates the remaining work of an endpoint: what its gate reported, which decays with the
 * age of the report, and the work of own calls that the report cannot contain.
 */
class remaining_work {
public:
    /** @brief Adds a call that was sent. */
    void begin(const sent_call& call);

    /** @brief Removes a call that has ended. */
    void end(const sent_call& call);

    /**
     * @brief Replaces the reported work.
     * @param work Expected time that the calls at the gate still need, as reported.
     * @param now When the report was received. Calls sent within a round trip before it had not
     *     reached the gate when the report was made.
     */
    void report(duration work, monotonic_time now);

    /** @brief Records the time that a call took beyond its service time, to learn the round trip.
     */
    void record_overhead(duration overhead) noexcept;

    /** @return True once the gate has reported work. */
    [[nodiscard]] bool reported() const noexcept { return reported_; }

    /**
     * @param now Current time.
     * @param decay Fraction of the reported work that still counts.
     * @param service_time Assumed work of own calls whose work is not known.
     * @return Estimated time that the calls at the endpoint still need.
     */
    [[nodiscard]] duration at(monotonic_time now, double decay, duration service_time) const;

private:
    std::vector<sent_call> sent_;
    duration work_{};
    /** Calls sent before are in the report. */
    monotonic_time contained_until_;
    duration round_trip_{};
    bool reported_{};
};

} // namespace savorywheel

#endif
