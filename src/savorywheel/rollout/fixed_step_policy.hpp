#ifndef SAVORYWHEEL_ROLLOUT_FIXED_STEP_POLICY_HPP
#define SAVORYWHEEL_ROLLOUT_FIXED_STEP_POLICY_HPP

#include <savorywheel/rollout/rollout_policy.hpp>

namespace savorywheel {

/** @brief Increases the new share by schedule alone; the baseline that trials compare against. */
class fixed_step_policy final : public rollout_policy {
public:
    [[nodiscard]] rollout_decision decide(const rollout_view& view) override;
};

} // namespace savorywheel

#endif
