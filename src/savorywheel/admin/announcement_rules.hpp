#ifndef SAVORYWHEEL_ADMIN_ANNOUNCEMENT_RULES_HPP
#define SAVORYWHEEL_ADMIN_ANNOUNCEMENT_RULES_HPP

#include <savorywheel/core/outcome.hpp>
#include <savorywheel/traffic/backend_server.hpp>

#include <cstdint>

namespace savorywheel {

/** @brief Most requests that a backend server may announce to run at one time. */
inline constexpr std::uint32_t max_backend_slots = 65'535;

/** @return True if a node can use the announcement; otherwise invalid_argument. */
[[nodiscard]] outcome<bool> check_announcement(const backend_server& backend);

} // namespace savorywheel

#endif
