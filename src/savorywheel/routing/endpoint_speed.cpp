#include <savorywheel/routing/endpoint_speed.hpp>

#include <algorithm>
#include <cmath>

namespace savorywheel {

namespace {

/** Largest difference of a sample from the mean, as a logarithm: a factor of 2.7. */
constexpr double max_difference = 1.0;
/** Weight of the ratio that the gate reports, in own calls. The latest four of its means are
 * averaged, each of about 15 calls, but these may be of different kinds, so that a quarter counts.
 */
constexpr double reported_weight = 16.0;
/** Smaller changes of the reported ratio are not worth the computation. */
constexpr double min_change = 0.05;
/** Bounds of the result, as logarithms: a factor of 8. */
constexpr double max_magnitude = 2.08;

} // namespace

void endpoint_speed::record(duration actual, duration typical) noexcept
{
    if (actual <= duration::zero() || typical <= duration::zero()) {
        return;
    }
    const auto sample =
        std::log(static_cast<double>(actual.count()) / static_cast<double>(typical.count()));
    const auto mean = own_.mean();
    own_.record(std::clamp(sample, mean - max_difference, mean + max_difference));
    update();
}

void endpoint_speed::set_reported(double ratio) noexcept
{
    if (ratio > 0.0 && std::abs(ratio - reported_) > min_change * reported_) {
        reported_ = ratio;
        update();
    }
}

void endpoint_speed::update() noexcept
{
    const auto own_weight = static_cast<double>(own_.samples());
    const auto magnitude = (own_.mean() * own_weight + std::log(reported_) * reported_weight) /
                           (own_weight + reported_weight);
    slowness_ = std::exp(std::clamp(magnitude, -max_magnitude, max_magnitude));
}

} // namespace savorywheel
