#ifndef SAVORYWHEEL_APPS_LOAD_METRIC_SNAPSHOT_HPP
#define SAVORYWHEEL_APPS_LOAD_METRIC_SNAPSHOT_HPP

#include <savorywheel/core/clock.hpp>

#include <map>
#include <string>
#include <string_view>

namespace savorywheel::load {

/** @brief Metrics of one process at one time. */
struct metric_snapshot {
    /** @brief When they were read. */
    monotonic_time at;
    /** @brief Values by name, without the prefix of all names. */
    std::map<std::string, double, std::less<>> values;

    /** @return The value of that name; zero if it is absent. */
    [[nodiscard]] double value(std::string_view name) const;
};

/**
 * @brief Reads the text of GET /metrics.
 * @param text The text.
 * @param at When it was read.
 */
[[nodiscard]] metric_snapshot parse_metrics(std::string_view text, monotonic_time at);

} // namespace savorywheel::load

#endif
