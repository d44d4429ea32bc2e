#ifndef SAVORYWHEEL_APPS_LOAD_ARRIVAL_SCHEDULE_HPP
#define SAVORYWHEEL_APPS_LOAD_ARRIVAL_SCHEDULE_HPP

#include <savorywheel/core/clock.hpp>

#include <cstdint>

namespace savorywheel::load {

/** @brief Constant-rate arrival times, independent of response times (open loop). */
class arrival_schedule {
public:
    /**
     * @param start Arrival time of the first request.
     * @param per_second Rate in requests per second; positive.
     */
    arrival_schedule(monotonic_time start, double per_second) noexcept
        : start_{start}, per_second_{per_second}
    {
    }

    /** @return Arrival time of the request with a zero-based index. */
    [[nodiscard]] monotonic_time due(std::uint64_t index) const noexcept
    {
        const std::chrono::duration<double> offset{static_cast<double>(index) / per_second_};
        return start_ + std::chrono::duration_cast<duration>(offset);
    }

    /** @return Number of arrivals within a period after the start. */
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
