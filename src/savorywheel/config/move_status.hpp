#ifndef SAVORYWHEEL_CONFIG_MOVE_STATUS_HPP
#define SAVORYWHEEL_CONFIG_MOVE_STATUS_HPP

#include <cstdint>
#include <string_view>

namespace savorywheel {

/** @brief Status of a move of traffic, as operators read it. */
enum class move_status : std::uint8_t {
    in_progress, /**< The shares still change. */
    done,        /**< The target is in force. */
    withdrawn,   /**< The old shares are in force again. */
    last_status = withdrawn
};

/** @return The status in words, for example "in progress". */
[[nodiscard]] std::string_view to_string(move_status status) noexcept;

} // namespace savorywheel

#endif
