#ifndef SAVORYWHEEL_MEMBERSHIP_SERVER_STATE_HPP
#define SAVORYWHEEL_MEMBERSHIP_SERVER_STATE_HPP

#include <cstdint>
#include <string_view>

namespace savorywheel {

/** @brief State of the backend server beside a node. */
enum class server_state : std::uint8_t {
    absent,   /**< No backend server has announced itself. */
    warming,  /**< It starts, and serves slowly. */
    serving,  /**< It serves. */
    draining, /**< It finishes its work and takes no more. */
    last_state = draining
};

/** @return The state in words. */
[[nodiscard]] std::string_view to_string(server_state state) noexcept;

} // namespace savorywheel

#endif
