#ifndef SAVORYWHEEL_ADMIN_ANNOUNCEMENT_RULES_HPP
#define SAVORYWHEEL_ADMIN_ANNOUNCEMENT_RULES_HPP

#include <savorywheel/core/outcome.hpp>
#include <savorywheel/traffic/backend_server.hpp>

#include <cstdint>

namespace savorywheel {

/** @brief Maximum concurrency that a backend server may announce, in requests. */
inline constexpr std::uint32_t max_backend_slots = 65'535;

/** @return True if all fields are valid; otherwise invalid_argument. */
[[nodiscard]] outcome<bool> check_announcement(const backend_server& backend);

} // namespace savorywheel

#endif
