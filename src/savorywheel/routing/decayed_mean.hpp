#ifndef SAVORYWHEEL_ROUTING_DECAYED_MEAN_HPP
#define SAVORYWHEEL_ROUTING_DECAYED_MEAN_HPP

#include <cmath>
#include <cstdint>

namespace savorywheel {

/** @brief Mean of the latest samples, with exponentially decaying weights, and their deviation. */
class decayed_mean {
public:
    /** @param window Number of samples after which the weight of a sample has decayed by 1/e. */
    explicit decayed_mean(std::uint32_t window) noexcept : window_{window} {}

    /** @brief Adds a sample. The first samples, up to the window, have equal weights. */
    void record(double sample) noexcept
    {
        samples_ += samples_ < window_ ? 1 : 0;
        const auto difference = sample - mean_;
        mean_ += difference / samples_;
        if (samples_ > 1) {
            deviation_ += (std::abs(difference) - deviation_) / (samples_ - 1);
        }
    }

    /** @return Number of samples, at most the window. */
    [[nodiscard]] std::uint32_t samples() const noexcept { return samples_; }

    /** @return The mean; zero before the first sample. */
    [[nodiscard]] double mean() const noexcept { return mean_; }

    /** @return Mean absolute deviation; zero before the second sample. */
    [[nodiscard]] double deviation() const noexcept { return deviation_; }

private:
    std::uint32_t window_;
    std::uint32_t samples_{};
    double mean_{};
    double deviation_{};
};

} // namespace savorywheel

#endif
