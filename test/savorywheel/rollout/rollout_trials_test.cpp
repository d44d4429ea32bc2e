#include <savorywheel/rollout/evidence_policy.hpp>
#include <savorywheel/rollout/fixed_step_policy.hpp>

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <support/rollout_simulation.hpp>

#include <algorithm>
#include <functional>
#include <memory>
#include <vector>

namespace savorywheel::test {

namespace {

constexpr std::uint64_t first_seed = 20261204;

/** Totals over the trials of one scenario. */
struct case_totals {
    int trials{};
    int done_in_time{};
    int withdrawn{};
    std::vector<int> delays;
    std::uint64_t failed{};
    std::uint64_t calls{};
};

using policy_factory = std::function<std::unique_ptr<rollout_policy>()>;

case_totals run_case(const rollout_scenario& scenario, const policy_factory& make)
{
    case_totals totals;
    for (int i = 0; i < scenario.trials; ++i) {
        const auto policy = make();
        const auto seed = first_seed + static_cast<std::uint64_t>(i);
        const auto result = run_rollout_simulation(*policy, scenario, seed);
        ++totals.trials;
        totals.done_in_time += result.done_at && *result.done_at <= simulated_move_seconds ? 1 : 0;
        if (result.withdrawn_at) {
            ++totals.withdrawn;
            totals.delays.push_back(*result.withdrawn_at - result.first_exposure_at.value_or(0));
        }
        totals.failed += result.failed_by_fault;
        totals.calls += result.calls;
    }
    std::ranges::sort(totals.delays);
    return totals;
}

std::vector<rollout_scenario> good_cases()
{
    return {{"none, 100 calls/s", 60},
            {"none, 20 calls/s", 30, 20.0},
            {"none, 2 calls/s", 30, 2.0},
            {"none, 0.2 calls/s", 20, 0.2},
            {"none, old version fails 2 %", 30, 100.0, 0.02},
            {"outage of both versions, 30 s", 30, 100.0, 0.001, 0.0, 1.0, 0, 0.0, false, 30},
            {"stalls of single servers", 30, 100.0, 0.001, 0.0, 1.0, 0, 0.0, false, 0, 10}};
}

std::vector<rollout_scenario> bad_cases()
{
    return {{"errors 1 % at once", 12, 100.0, 0.001, 0.01},
            {"errors 5 % at once", 12, 100.0, 0.001, 0.05},
            {"errors 50 % at once", 12, 100.0, 0.001, 0.5},
            {"errors 1 % after 60 s", 12, 100.0, 0.001, 0.01, 1.0, 60},
            {"errors 5 % after 60 s", 12, 100.0, 0.001, 0.05, 1.0, 60},
            {"errors 50 % after 60 s", 12, 100.0, 0.001, 0.5, 1.0, 60},
            {"errors 50 % after it was done", 12, 100.0, 0.001, 0.5, 1.0, 580},
            {"errors 20 % above 30 % share", 12, 100.0, 0.001, 0.2, 1.0, 0, 0.3},
            {"errors 5 % on one route", 12, 100.0, 0.001, 0.05, 1.0, 0, 0.0, true},
            {"errors 50 % on one route", 12, 100.0, 0.001, 0.5, 1.0, 0, 0.0, true},
            {"latency x2 at once", 12, 100.0, 0.001, 0.0, 2.0},
            {"latency x3 at once", 12, 100.0, 0.001, 0.0, 3.0},
            {"latency x3 after 60 s", 12, 100.0, 0.001, 0.0, 3.0, 60},
            {"latency x3 above 30 % share", 12, 100.0, 0.001, 0.0, 3.0, 0, 0.3},
            {"errors 5 %, 2 calls/s", 12, 2.0, 0.001, 0.05},
            {"errors 50 %, 2 calls/s", 12, 2.0, 0.001, 0.5},
            {"errors 50 %, 0.2 calls/s", 12, 0.2, 0.001, 0.5}};
}

void print_row(const rollout_scenario& scenario, const case_totals& totals)
{
    const auto median = totals.delays.empty() ? 0 : totals.delays[totals.delays.size() / 2];
    const auto longest = totals.delays.empty() ? 0 : totals.delays.back();
    fmt::print("| {} | {} | {} | {} | {} | {} | {:.1f} | {:.3f} |\n", scenario.name, totals.trials,
               totals.done_in_time, totals.withdrawn, median, longest,
               static_cast<double>(totals.failed) / totals.trials,
               100.0 * static_cast<double>(totals.failed) / static_cast<double>(totals.calls));
}

case_totals run_table(const char* title, std::span<const rollout_scenario> cases,
                      const policy_factory& make)
{
    case_totals all;
    fmt::print("\n{}\n\n| fault | trials | done in time | withdrawn | median s to withdraw | "
               "longest | failed calls a trial | % of calls |\n|---|---|---|---|---|---|---|---|\n",
               title);
    for (const auto& scenario : cases) {
        const auto totals = run_case(scenario, make);
        print_row(scenario, totals);
        all.trials += totals.trials;
        all.done_in_time += totals.done_in_time;
        all.withdrawn += totals.withdrawn;
    }
    fmt::print("\n{} of {} done in time, {} withdrawn\n", all.done_in_time, all.trials,
               all.withdrawn);
    return all;
}

std::unique_ptr<rollout_policy> make_evidence_policy()
{
    return std::make_unique<evidence_policy>();
}

std::unique_ptr<rollout_policy> make_fixed_policy()
{
    return std::make_unique<fixed_step_policy>();
}

} // namespace

TEST(proof_rollout_trials, good_versions_finish_by_the_deadline)
{
    run_table("good versions, by schedule alone", good_cases(), make_fixed_policy);
    const auto all = run_table("good versions, by evidence", good_cases(), make_evidence_policy);
    EXPECT_GE(all.trials, 200);
    EXPECT_LE(all.withdrawn, all.trials / 100);
    EXPECT_GE(all.done_in_time, all.trials - all.trials / 100);
}

TEST(proof_rollout_trials, bad_versions_are_withdrawn)
{
    run_table("bad versions, by schedule alone", bad_cases(), make_fixed_policy);
    const auto all = run_table("bad versions, by evidence", bad_cases(), make_evidence_policy);
    EXPECT_GE(all.trials, 200);
    EXPECT_GE(all.withdrawn, all.trials * 9 / 10);
}

} // namespace savorywheel::test
