#ifndef SAVORYWHEEL_TEST_SUPPORT_ROLLOUT_SIMULATION_HPP
#define SAVORYWHEEL_TEST_SUPPORT_ROLLOUT_SIMULATION_HPP

#include <savorywheel/rollout/rollout_policy.hpp>

#include <support/rollout_scenario.hpp>
#include <support/rollout_simulation_result.hpp>

namespace savorywheel::test {

/** @brief Seconds from the start of a trial's move to its deadline. */
inline constexpr int simulated_move_seconds = 600;

/** @brief Seconds from a decision until its shares are in force in a trial. */
inline constexpr int propagation_delay_seconds = 2;

/**
 * @brief Lets a policy move a service from v1 to v2 in fake traffic, until after the deadline.
 * @param policy The policy.
 * @param scenario Kind of new version and traffic.
 * @param seed Start of the random numbers.
 */
[[nodiscard]] rollout_simulation_result run_rollout_simulation(rollout_policy& policy,
                                                               const rollout_scenario& scenario,
                                                               std::uint64_t seed);

} // namespace savorywheel::test

#endif
