#ifndef SAVORYWHEEL_ROLLOUT_ROLLOUT_DECISION_HPP
#define SAVORYWHEEL_ROLLOUT_ROLLOUT_DECISION_HPP

#include <savorywheel/config/version_weight.hpp>
#include <savorywheel/rollout/rollout_action.hpp>

#include <string>
#include <vector>

namespace savorywheel {

/** @brief Next step of a move, with its reason. */
struct rollout_decision {
    rollout_action action{rollout_action::hold};
    /** @brief Shares to apply; empty for hold. */
    std::vector<version_weight> weights;
    /** @brief Explanation for operators. */
    std::string reason;
    /** @brief True if the new version is suspected, but not enough to withdraw the move. */
    bool suspected{};
};

} // namespace savorywheel

#endif
