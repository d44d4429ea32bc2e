#ifndef SAVORYWHEEL_CONFIG_RFC3339_TIME_HPP
#define SAVORYWHEEL_CONFIG_RFC3339_TIME_HPP

#include <savorywheel/core/clock.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace savorywheel {

/**
 * @brief Parses an RFC 3339 time in UTC without fractions, such as "2026-12-04T18:00:00Z".
 * @return std::nullopt if the text has another form or names a time that does not exist.
 */
[[nodiscard]] std::optional<calendar_time> parse_calendar_time(std::string_view text);

/** @brief Formats a time as RFC 3339 in UTC, rounded down to whole seconds. */
[[nodiscard]] std::string format_calendar_time(calendar_time time);

} // namespace savorywheel

#endif
