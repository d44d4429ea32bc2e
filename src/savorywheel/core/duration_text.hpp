#ifndef SAVORYWHEEL_CORE_DURATION_TEXT_HPP
#define SAVORYWHEEL_CORE_DURATION_TEXT_HPP

#include <chrono>
#include <optional>
#include <string_view>

namespace savorywheel {

/**
 * @param text Number with its unit, such as "1500ms" or "2.5s".
 * @return The duration, rounded to milliseconds; none if the text is invalid, negative or over a
 * year.
 */
[[nodiscard]] std::optional<std::chrono::milliseconds> parse_duration(std::string_view text);

} // namespace savorywheel

#endif
