#ifndef SAVORYWHEEL_TRAFFIC_SERVICE_TIME_ESTIMATE_HPP
#define SAVORYWHEEL_TRAFFIC_SERVICE_TIME_ESTIMATE_HPP

#include <savorywheel/core/clock.hpp>

namespace savorywheel {

/** @brief Exponentially weighted moving average of the service time of calls. */
class service_time_estimate {
public:
    /** @brief Adds the service time of a finished call. */
    void record(duration sample) noexcept
    {
        mean_ = mean_ == duration::zero() ? sample : mean_ + (sample - mean_) / smoothing;
    }

    /** @return The mean; zero before the first call. */
    [[nodiscard]] duration mean() const noexcept { return mean_; }

private:
    static constexpr int smoothing = 8;

    duration mean_{};
};

} // namespace savorywheel

#endif
