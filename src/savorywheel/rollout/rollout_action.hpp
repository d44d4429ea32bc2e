#ifndef SAVORYWHEEL_ROLLOUT_ROLLOUT_ACTION_HPP
#define SAVORYWHEEL_ROLLOUT_ROLLOUT_ACTION_HPP

#include <cstdint>

namespace savorywheel {

/** @brief What to do with a move of traffic next. */
enum class rollout_action : std::uint8_t {
    hold,    /**< Keep the shares. */
    advance, /**< Give the new shares more. */
    finish,  /**< Put the target in force. */
    withdraw /**< Put the old shares in force again. */
};

} // namespace savorywheel

#endif
