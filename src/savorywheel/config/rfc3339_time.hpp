#ifndef SAVORYWHEEL_CONFIG_RFC3339_TIME_HPP
#define SAVORYWHEEL_CONFIG_RFC3339_TIME_HPP

#include <savorywheel/core/clock.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace savorywheel {

/**
 * @brief Reads a time in UTC as RFC 3339 writes it, such as "2026-12-04T18:00:00Z".
 * @param text The text.
 * @return Nothing if the text is of another form.
 */
[[nodiscard]] std::optional<calendar_time> parse_calendar_time(std::string_view text);

/** @return The time in UTC, as RFC 3339 writes it, to the second. */
[[nodiscard]] std::string format_calendar_time(calendar_time time);

} // namespace savorywheel

#endif
