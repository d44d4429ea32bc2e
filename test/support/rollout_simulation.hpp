#ifndef SAVORYWHEEL_TEST_SUPPORT_ROLLOUT_SIMULATION_HPP
#define SAVORYWHEEL_TEST_SUPPORT_ROLLOUT_SIMULATION_HPP

#include <savorywheel/rollout/rollout_policy.hpp>

#include <support/rollout_scenario.hpp>
#include <support/rollout_simulation_result.hpp>

namespace savorywheel::test {

/** @brief Seconds from the start of the move to its deadline. */
inline constexpr int simulated_move_seconds = 600;

/** @brief Seconds from a decision until nodes route by its shares. */
inline constexpr int propagation_delay_seconds = 2;

/**
 * @brief Simulates a move from v1 to v2 under a policy, until one minute after its deadline.
 * @param policy Policy under test.
 * @param scenario Faults of the new version and properties of the traffic.
 * @param seed Seed of the random numbers.
 */
[[nodiscard]] rollout_simulation_result run_rollout_simulation(rollout_policy& policy,
                                                               const rollout_scenario& scenario,
                                                               std::uint64_t seed);

} // namespace savorywheel::test

#endif
