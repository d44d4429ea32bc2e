#ifndef SAVORYWHEEL_TRAFFIC_SERVICE_TIME_DISTRIBUTION_HPP
#define SAVORYWHEEL_TRAFFIC_SERVICE_TIME_DISTRIBUTION_HPP

#include <savorywheel/core/clock.hpp>

#include <cstdint>

namespace savorywheel {

/**
 * @brief Mean and a high quantile of the service times of one kind of call, in constant space.
 *
 * The quantile is tracked as a multiple of the mean, by stochastic approximation. The multiple
 * describes the shape of the distribution, so that the quantile follows at once when a backend
 * server becomes slower as a whole.
 */
class service_time_distribution {
public:
    /** @brief Adds the service time of a finished call. */
    void record(duration sample) noexcept;

    /** @return The mean; zero before the first call. */
    [[nodiscard]] duration mean() const noexcept { return mean_; }

    /** @return A time that about 95 of 100 calls do not exceed; zero before the first call. */
    [[nodiscard]] duration high() const noexcept;

    /** @return True if enough calls were recorded for a decision about a single kind of call. */
    [[nodiscard]] bool known() const noexcept { return samples_ >= min_samples; }

private:
    /** With a coefficient of variation of 0.8, the mean of 8 calls is within a third or so. */
    static constexpr std::uint32_t min_samples = 8;
    /** Twice the mean is the 95 % quantile of a log-normal distribution with a spread of 0.5. */
    static constexpr double initial_multiple = 2.0;

    std::uint32_t samples_{};
    duration mean_{};
    double multiple_{initial_multiple};
};

} // namespace savorywheel

#endif
