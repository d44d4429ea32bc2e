#ifndef SAVORYWHEEL_CONFIG_MANUAL_OVERRIDE_HPP
#define SAVORYWHEEL_CONFIG_MANUAL_OVERRIDE_HPP

#include <savorywheel/config/version_weight.hpp>
#include <savorywheel/core/clock.hpp>
#include <savorywheel/core/config_version.hpp>
#include <savorywheel/core/names.hpp>

#include <string>
#include <vector>

namespace savorywheel {

/** @brief Weights that an operator set manually; they take precedence over rollouts. */
struct manual_override {
    /** @brief Weights; their sum is weight_sum_permille. */
    std::vector<version_weight> weights;
    author_name author;
    std::string reason;
    /** @brief Time of acceptance. */
    calendar_time set_at{};
    /** @brief Version of the commit that set it. */
    config_version version;

    [[nodiscard]] friend bool operator==(const manual_override&, const manual_override&) = default;
};

} // namespace savorywheel

#endif
