#ifndef SAVORYWHEEL_CONFIG_TRAFFIC_TARGET_HPP
#define SAVORYWHEEL_CONFIG_TRAFFIC_TARGET_HPP

#include <savorywheel/config/version_weight.hpp>
#include <savorywheel/core/clock.hpp>

#include <optional>
#include <vector>

namespace savorywheel {

/** @brief Desired split of a service's traffic between versions, with a deadline. */
struct traffic_target {
    /** @brief Weights; their sum is weight_sum_permille. */
    std::vector<version_weight> weights;
    /**
     * @brief Deadline by which the weights must be in force, key "by" in a configuration text; as
     * soon as possible if absent.
     */
    std::optional<calendar_time> due;

    [[nodiscard]] friend bool operator==(const traffic_target&, const traffic_target&) = default;
};

} // namespace savorywheel

#endif
