#ifndef SAVORYWHEEL_ROLLOUT_FIXED_STEP_POLICY_HPP
#define SAVORYWHEEL_ROLLOUT_FIXED_STEP_POLICY_HPP

#include <savorywheel/rollout/rollout_policy.hpp>

namespace savorywheel {

/** @brief Grows the new share by the schedule alone, without evidence: the baseline of trials. */
class fixed_step_policy final : public rollout_policy {
public:
    [[nodiscard]] rollout_decision decide(const rollout_view& view) override;
};

} // namespace savorywheel

#endif
