#ifndef SAVORYWHEEL_CONFIG_TRAFFIC_TARGET_HPP
#define SAVORYWHEEL_CONFIG_TRAFFIC_TARGET_HPP

#include <savorywheel/config/version_weight.hpp>
#include <savorywheel/core/clock.hpp>

#include <optional>
#include <vector>

namespace savorywheel {

/** @brief Versions that should carry a service's traffic, and by when. */
struct traffic_target {
    /** @brief Shares; they add up to weight_sum_permille. */
    std::vector<version_weight> weights;
    /** @brief Time by which the shares must be in force; at once if absent. */
    std::optional<calendar_time> due;

    /** @brief Compares all members. */
    [[nodiscard]] friend bool operator==(const traffic_target&, const traffic_target&) = default;
};

} // namespace savorywheel

#endif
