#ifndef SAVORYWHEEL_ROLLOUT_ROLLOUT_ACTION_HPP
#define SAVORYWHEEL_ROLLOUT_ROLLOUT_ACTION_HPP

#include <cstdint>

namespace savorywheel {

/** @brief Action on a move of traffic between versions. */
enum class rollout_action : std::uint8_t {
    hold,    /**< Keep the current shares. */
    advance, /**< Increase the new versions' shares. */
    finish,  /**< Apply the target shares. */
    withdraw /**< Restore the old shares. */
};

} // namespace savorywheel

#endif
