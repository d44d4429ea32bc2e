#ifndef SAVORYWHEEL_APPS_LOAD_METRIC_SNAPSHOT_HPP
#define SAVORYWHEEL_APPS_LOAD_METRIC_SNAPSHOT_HPP

#include <savorywheel/core/clock.hpp>

#include <map>
#include <string>
#include <string_view>

namespace savorywheel::load {

/** @brief Metrics of one process at a point in time. */
struct metric_snapshot {
    /** @brief Time of the snapshot. */
    monotonic_time at;
    /** @brief Values by name, without the common prefix. */
    std::map<std::string, double, std::less<>> values;

    /** @return Value of a metric; zero if it is absent. */
    [[nodiscard]] double value(std::string_view name) const;
};

/**
 * @brief Parses the response of GET /metrics.
 * @param text Response body.
 * @param at Time of the snapshot.
 */
[[nodiscard]] metric_snapshot parse_metrics(std::string_view text, monotonic_time at);

} // namespace savorywheel::load

#endif
