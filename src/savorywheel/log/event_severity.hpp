#ifndef SAVORYWHEEL_LOG_EVENT_SEVERITY_HPP
#define SAVORYWHEEL_LOG_EVENT_SEVERITY_HPP

#include <cstdint>
#include <optional>
#include <string_view>

namespace savorywheel {

/** @brief Severity of a log event, in ascending order. */
enum class event_severity : std::uint8_t { info, warning, error };

/** @return The lower-case name of the severity. */
[[nodiscard]] std::string_view to_string(event_severity severity) noexcept;

/** @return The severity with the given name; nothing if there is none. */
[[nodiscard]] std::optional<event_severity> parse_severity(std::string_view text) noexcept;

} // namespace savorywheel

#endif
