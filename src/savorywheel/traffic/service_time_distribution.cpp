#include <savorywheel/traffic/service_time_distribution.hpp>

#include <algorithm>

namespace savorywheel {

namespace {

/** Weight of a new sample is 1/16: a slowdown is followed within about a second under load. */
constexpr std::uint32_t smoothing = 16;
/** One admitted call in 20 may exceed the time that was planned for it. */
constexpr double quantile = 0.95;
/** The multiple covers its range in about 60 samples above the quantile. */
constexpr double step = 0.05;
constexpr double min_multiple = 1.0;
/** Single calls take three times as long; the quantile must not follow a burst of them further. */
constexpr double max_multiple = 4.0;

} // namespace

void service_time_distribution::record(duration sample) noexcept
{
    if (samples_ > 0) {
        multiple_ += step * (sample > high() ? quantile : quantile - 1.0);
        multiple_ = std::clamp(multiple_, min_multiple, max_multiple);
    }
    samples_ = std::min(samples_ + 1, smoothing);
    mean_ += (sample - mean_) / static_cast<duration::rep>(samples_);
}

duration service_time_distribution::high() const noexcept
{
    return duration{static_cast<duration::rep>(static_cast<double>(mean_.count()) * multiple_)};
}

} // namespace savorywheel
