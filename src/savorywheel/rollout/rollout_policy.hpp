#ifndef SAVORYWHEEL_ROLLOUT_ROLLOUT_POLICY_HPP
#define SAVORYWHEEL_ROLLOUT_ROLLOUT_POLICY_HPP

#include <savorywheel/rollout/rollout_decision.hpp>
#include <savorywheel/rollout/rollout_view.hpp>

namespace savorywheel {

/**
 * @brief Decides the next step of one move of traffic.
 *
 * Decisions are deterministic: a policy depends only on the sequence of views, not on a clock.
 */
class rollout_policy {
public:
    rollout_policy() = default;
    rollout_policy(const rollout_policy&) = delete;
    rollout_policy& operator=(const rollout_policy&) = delete;
    rollout_policy(rollout_policy&&) = delete;
    rollout_policy& operator=(rollout_policy&&) = delete;
    virtual ~rollout_policy() = default;

    /**
     * @brief Evaluates the evidence of one period and decides.
     * @param view State and evidence; the evidence of each period must be passed exactly once.
     */
    [[nodiscard]] virtual rollout_decision decide(const rollout_view& view) = 0;
};

} // namespace savorywheel

#endif
