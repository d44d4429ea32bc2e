#ifndef SAVORYWHEEL_CONFIG_MOVE_STATUS_HPP
#define SAVORYWHEEL_CONFIG_MOVE_STATUS_HPP

#include <cstdint>
#include <string_view>

namespace savorywheel {

/** @brief Status of a move of traffic between versions. */
enum class move_status : std::uint8_t {
    in_progress, /**< Weights are still being shifted. */
    done,        /**< The target weights are in force. */
    withdrawn,   /**< Rolled back; the old weights are in force. */
    last_status = withdrawn
};

/** @return Name of the status as shown to operators, such as "in progress". */
[[nodiscard]] std::string_view to_string(move_status status) noexcept;

} // namespace savorywheel

#endif
