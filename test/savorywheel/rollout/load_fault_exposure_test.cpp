#include <savorywheel/rollout/evidence_policy.hpp>

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <support/load_fault_simulation.hpp>

namespace savorywheel::test {

namespace {

constexpr std::uint64_t first_seed = 20261205;
constexpr std::uint64_t seeds = 50;
/** Requests that a faulty version may get: a tenth, and some. */
constexpr std::uint64_t exposure_divisor = 10;
constexpr std::uint64_t exposure_slack = 50;

load_fault_result run(const load_fault_scenario& scenario, std::uint64_t seed)
{
    evidence_policy policy;
    return load_fault_simulation{policy, scenario, seed}.run();
}

void expect_bounded_exposure(const load_fault_scenario& scenario)
{
    for (std::uint64_t seed = first_seed; seed < first_seed + seeds; ++seed) {
        const auto result = run(scenario, seed);
        fmt::print("seed {}: {} of {} calls, withdrawn at {:.2f} s\n", seed, result.new_calls,
                   result.calls, result.withdrawn_at.value_or(0.0));
        EXPECT_TRUE(result.withdrawn_at) << "seed " << seed;
        EXPECT_LE(result.new_calls, result.calls / exposure_divisor + exposure_slack)
            << "seed " << seed;
    }
}

void expect_done(const load_fault_scenario& scenario)
{
    for (std::uint64_t seed = first_seed; seed < first_seed + seeds; ++seed) {
        const auto result = run(scenario, seed);
        EXPECT_FALSE(result.withdrawn_at) << "seed " << seed;
        EXPECT_TRUE(result.done_at) << "seed " << seed;
        EXPECT_EQ(result.new_servers_called, 6U) << "seed " << seed;
    }
}

} // namespace

TEST(proof_exposure, version_that_fails_under_load_gets_a_tenth_of_the_calls_at_most)
{
    load_fault_scenario scenario;
    scenario.fault_failure_rate = 0.5;
    scenario.fault_min_running = 4;
    expect_bounded_exposure(scenario);
}

TEST(proof_exposure, faulty_version_gets_a_tenth_of_the_calls_though_the_old_one_fails_too)
{
    load_fault_scenario scenario;
    scenario.overload_at = 4.0;
    scenario.overload_failure_rate = 0.09;
    scenario.fault_at = scenario.overload_at.value_or(0.0);
    scenario.fault_failure_rate = 0.3;
    expect_bounded_exposure(scenario);
}

TEST(proof_exposure, good_version_is_in_force_by_its_deadline)
{
    expect_done({});
}

TEST(proof_exposure, good_version_is_in_force_by_its_deadline_during_an_overload)
{
    load_fault_scenario scenario;
    scenario.overload_at = 4.0;
    scenario.overload_failure_rate = 0.3;
    expect_done(scenario);
}

} // namespace savorywheel::test
