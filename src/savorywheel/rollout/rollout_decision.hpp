#ifndef SAVORYWHEEL_ROLLOUT_ROLLOUT_DECISION_HPP
#define SAVORYWHEEL_ROLLOUT_ROLLOUT_DECISION_HPP

#include <savorywheel/config/version_weight.hpp>
#include <savorywheel/rollout/rollout_action.hpp>

#include <string>
#include <vector>

namespace savorywheel {

/** @brief Next step of a move, with its reason. */
struct rollout_decision {
    /** @brief What to do. */
    rollout_action action{rollout_action::hold};
    /** @brief Shares to put in force; empty for hold. */
    std::vector<version_weight> weights;
    /** @brief Why, for operators. */
    std::string reason;
};

} // namespace savorywheel

#endif
