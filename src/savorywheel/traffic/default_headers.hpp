#ifndef SAVORYWHEEL_TRAFFIC_DEFAULT_HEADERS_HPP
#define SAVORYWHEEL_TRAFFIC_DEFAULT_HEADERS_HPP

#include <string_view>

namespace savorywheel {

/** @brief Time until the deadline in milliseconds; set by callers and by the mesh. */
inline constexpr std::string_view default_deadline_header = "x-savorywheel-deadline-ms";

/** @brief States in a rejection whether the request may have been run. */
inline constexpr std::string_view default_outcome_header = "x-savorywheel-outcome";

/** @brief API key of a caller. */
inline constexpr std::string_view default_key_header = "x-savorywheel-key";

/** @brief Tenant of the caller; set by the mesh. */
inline constexpr std::string_view default_tenant_header = "x-savorywheel-tenant";

} // namespace savorywheel

#endif
