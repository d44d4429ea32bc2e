#ifndef SAVORYWHEEL_TRAFFIC_DEFAULT_HEADERS_HPP
#define SAVORYWHEEL_TRAFFIC_DEFAULT_HEADERS_HPP

#include <string_view>

namespace savorywheel {

/** @brief Milliseconds that a caller, or the mesh in its place, waits for the answer. */
inline constexpr std::string_view default_deadline_header = "x-savorywheel-deadline-ms";

/** @brief Tells a caller whether its request was run. */
inline constexpr std::string_view default_outcome_header = "x-savorywheel-outcome";

} // namespace savorywheel

#endif
