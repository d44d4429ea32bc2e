#ifndef SAVORYWHEEL_METRICS_METRIC_KEY_HPP
#define SAVORYWHEEL_METRICS_METRIC_KEY_HPP

#include <compare>
#include <string>

namespace savorywheel {

/** @brief Names one value: that of a metric, or of one of its labels. */
struct metric_key {
    /** @brief Name of the metric, without the prefix. */
    std::string name;
    /** @brief Name of the label; empty if the metric has one value. */
    std::string label{};
    /** @brief Value of the label. */
    std::string value{};

    /** @brief Orders by name, then by label. */
    [[nodiscard]] friend auto operator<=>(const metric_key&, const metric_key&) = default;
};

} // namespace savorywheel

#endif
