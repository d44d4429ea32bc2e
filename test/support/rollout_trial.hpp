#ifndef SAVORYWHEEL_TEST_SUPPORT_ROLLOUT_TRIAL_HPP
#define SAVORYWHEEL_TEST_SUPPORT_ROLLOUT_TRIAL_HPP

#include <savorywheel/rollout/rollout_policy.hpp>

#include <support/trial_case.hpp>
#include <support/trial_result.hpp>

namespace savorywheel::test {

/** @brief Seconds from the start of a trial's move to its deadline. */
inline constexpr int trial_due_seconds = 600;

/** @brief Seconds from a decision until its shares are in force in a trial. */
inline constexpr int trial_delay_seconds = 2;

/**
 * @brief Lets a policy move a service from v1 to v2 in fake traffic, until after the deadline.
 * @param policy The policy.
 * @param kind Kind of new version and traffic.
 * @param seed Start of the random numbers.
 */
[[nodiscard]] trial_result run_rollout_trial(rollout_policy& policy, const trial_case& kind,
                                             std::uint64_t seed);

} // namespace savorywheel::test

#endif
