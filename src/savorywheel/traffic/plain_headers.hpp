#ifndef SAVORYWHEEL_TRAFFIC_PLAIN_HEADERS_HPP
#define SAVORYWHEEL_TRAFFIC_PLAIN_HEADERS_HPP

#include <string_view>

namespace savorywheel {

/** @brief Milliseconds that a caller, or the mesh in its place, waits for the answer. */
inline constexpr std::string_view plain_deadline_header = "x-savorywheel-deadline-ms";

/** @brief Tells a caller whether its request was run. */
inline constexpr std::string_view plain_outcome_header = "x-savorywheel-outcome";

} // namespace savorywheel

#endif
