#ifndef SAVORYWHEEL_APPS_LOAD_ARRIVAL_SCHEDULE_HPP
#define SAVORYWHEEL_APPS_LOAD_ARRIVAL_SCHEDULE_HPP

#include <savorywheel/core/clock.hpp>

#include <cstdint>

namespace savorywheel::load {

/** @brief Times at which requests are due, at a constant rate and independent of the answers. */
class arrival_schedule {
public:
    /**
     * @param start When the first request is due.
     * @param per_second Requests in a second; positive.
     */
    arrival_schedule(monotonic_time start, double per_second) noexcept
        : start_{start}, per_second_{per_second}
    {
    }

    /** @return When a request is due; the first one has index zero. */
    [[nodiscard]] monotonic_time due(std::uint64_t index) const noexcept
    {
        const std::chrono::duration<double> offset{static_cast<double>(index) / per_second_};
        return start_ + std::chrono::duration_cast<duration>(offset);
    }

    /** @return Number of requests that are due within a time after the start. */
    [[nodiscard]] std::uint64_t count_within(duration period) const noexcept
    {
        const std::chrono::duration<double> seconds{period};
        return static_cast<std::uint64_t>(seconds.count() * per_second_);
    }

private:
    monotonic_time start_;
    double per_second_;
};

} // namespace savorywheel::load

#endif
