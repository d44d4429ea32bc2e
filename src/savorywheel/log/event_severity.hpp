#ifndef SAVORYWHEEL_LOG_EVENT_SEVERITY_HPP
#define SAVORYWHEEL_LOG_EVENT_SEVERITY_HPP

#include <cstdint>
#include <optional>
#include <string_view>

namespace savorywheel {

/** @brief How much a log event matters. */
enum class event_severity : std::uint8_t { info, warning, error };

/** @return The severity in words. */
[[nodiscard]] std::string_view to_string(event_severity severity) noexcept;

/** @return The severity that a word names; nothing for another word. */
[[nodiscard]] std::optional<event_severity> parse_severity(std::string_view text) noexcept;

} // namespace savorywheel

#endif
