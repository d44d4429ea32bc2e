#ifndef SAVORYWHEEL_METRICS_METRIC_KEY_HPP
#define SAVORYWHEEL_METRICS_METRIC_KEY_HPP

#include <compare>
#include <string>

namespace savorywheel {

/** @brief Identifies a time series: a metric name and at most one label. */
struct metric_key {
    /** @brief Metric name without the "savorywheel_" prefix. */
    std::string name;
    /** @brief Label name; empty if the metric has no label. */
    std::string label{};
    /** @brief Label value. */
    std::string value{};

    /** @brief Orders by name, so that all series of a metric are adjacent. */
    [[nodiscard]] friend auto operator<=>(const metric_key&, const metric_key&) = default;
};

} // namespace savorywheel

#endif
