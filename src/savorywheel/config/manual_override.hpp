#ifndef SAVORYWHEEL_CONFIG_MANUAL_OVERRIDE_HPP
#define SAVORYWHEEL_CONFIG_MANUAL_OVERRIDE_HPP

#include <savorywheel/config/version_weight.hpp>
#include <savorywheel/core/clock.hpp>
#include <savorywheel/core/config_version.hpp>
#include <savorywheel/core/names.hpp>

#include <string>
#include <vector>

namespace savorywheel {

/** @brief Shares that an operator set by hand; they stand above every automatic decision. */
struct manual_override {
    /** @brief Shares; they add up to weight_sum_permille. */
    std::vector<version_weight> weights;
    /** @brief Who set it. */
    author_name author;
    /** @brief Why. */
    std::string reason;
    /** @brief When it was accepted. */
    calendar_time set_at{};
    /** @brief Version of the commit that set it. */
    config_version version;

    /** @brief Compares all members. */
    [[nodiscard]] friend bool operator==(const manual_override&, const manual_override&) = default;
};

} // namespace savorywheel

#endif
