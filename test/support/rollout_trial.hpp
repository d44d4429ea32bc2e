#ifndef SAVORYWHEEL_TEST_SUPPORT_ROLLOUT_TRIAL_HPP
#define SAVORYWHEEL_TEST_SUPPORT_ROLLOUT_TRIAL_HPP

#include <savorywheel/rollout/rollout_policy.hpp>

#include <support/trial_case.hpp>
#include <support/trial_result.hpp>

namespace savorywheel::test {

/** @brief Seconds from the start of the move to its deadline. */
inline constexpr int trial_due_seconds = 600;

/** @brief Seconds from a decision until nodes route by its shares. */
inline constexpr int trial_delay_seconds = 2;

/**
 * @brief Simulates a move from v1 to v2 under a policy, until one minute after its deadline.
 * @param policy Policy under test.
 * @param kind Faults of the new version and properties of the traffic.
 * @param seed Seed of the random numbers.
 */
[[nodiscard]] trial_result run_rollout_trial(rollout_policy& policy, const trial_case& kind,
                                             std::uint64_t seed);

} // namespace savorywheel::test

#endif
