#ifndef SAVORYWHEEL_LOG_LOG_EXCERPT_HPP
#define SAVORYWHEEL_LOG_LOG_EXCERPT_HPP

#include <string>
#include <string_view>

namespace savorywheel {

/** @brief Maximum length of untrusted text in a log line, in bytes. */
inline constexpr std::size_t max_log_excerpt = 120;

/** @return The beginning of an untrusted text; bytes other than printable ASCII become '?'. */
[[nodiscard]] std::string log_excerpt(std::string_view text);

} // namespace savorywheel

#endif
