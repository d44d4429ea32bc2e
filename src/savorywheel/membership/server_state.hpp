#ifndef SAVORYWHEEL_MEMBERSHIP_SERVER_STATE_HPP
#define SAVORYWHEEL_MEMBERSHIP_SERVER_STATE_HPP

#include <cstdint>
#include <string_view>

namespace savorywheel {

/** @brief State of a node's backend server. */
enum class server_state : std::uint8_t {
    absent,   /**< No backend server has announced itself. */
    warming,  /**< Serves requests, but is still warming up and slow. */
    serving,  /**< Serves requests. */
    draining, /**< Completes requests in flight and accepts no new ones. */
    last_state = draining
};

[[nodiscard]] std::string_view to_string(server_state state) noexcept;

} // namespace savorywheel

#endif
