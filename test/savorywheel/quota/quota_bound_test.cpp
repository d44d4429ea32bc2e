#include "quota_fault_simulation.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace savorywheel::test {

namespace {

using namespace std::chrono_literals;

/** A ledger without the rule after a change of coordinators fails in one of 300 runs. */
constexpr int runs_per_case = 10;

std::chrono::milliseconds any_time(std::vector<int> choices)
{
    return std::chrono::milliseconds{*rc::gen::elementOf(std::move(choices))};
}

quota_faults any_faults()
{
    quota_faults faults;
    faults.loss = *rc::gen::element(0U, 0U, 10U, 50U);
    faults.duplicates = *rc::gen::element(0U, 30U);
    faults.not_run = *rc::gen::element(0U, 20U, 80U);
    faults.max_delay = any_time({10, 10, 500, 8000});
    faults.coordinator_life = any_time({0, 2000, 6000, 20'000, 20'000});
    faults.node_life = any_time({0, 0, 2000, 10'000});
    faults.rate = *rc::gen::element(0.5, 5.0, 40.0, 200.0);
    faults.burst = faults.rate * *rc::gen::element(0.0, 1.0, 4.0);
    faults.hoarding = *rc::gen::element(true, true, false);
    faults.later_fraction = *rc::gen::element(1.0, 0.5, 0.1);
    return faults;
}

} // namespace

// Tokens that two coordinators issued, a lost grant, a refund or an expired token counted twice
// would let a tenant exceed its quota during a failure.
TEST(quota_bound, holds_over_any_order_of_failures)
{
    EXPECT_TRUE(rc::check([] {
        const auto faults = any_faults();
        auto seed = *rc::gen::arbitrary<std::uint64_t>();
        for (int i = 0; i < runs_per_case; ++i) {
            quota_fault_simulation simulation{seed++, faults};
            simulation.run(40s);
            RC_ASSERT(simulation.worst_excess() <= 0);
        }
    }));
}

// Without failures the bound must not be kept by refusing what the tenant may use.
TEST(quota_bound, demand_beyond_the_limit_is_granted_up_to_the_limit)
{
    quota_faults faults;
    faults.max_delay = 20ms;
    faults.rate = 40;
    faults.burst = 40;
    quota_fault_simulation simulation{1, faults};
    simulation.run(60s);
    EXPECT_LE(simulation.worst_excess(), 0);
    EXPECT_GE(simulation.accepted(), 0.97 * 40 * 60);
}

// Tokens of requests that were refused must be available again; without that, 10 % of the quota
// would be lost here.
TEST(quota_bound, requests_that_did_not_run_do_not_use_up_the_quota)
{
    quota_faults faults;
    faults.max_delay = 20ms;
    faults.rate = 40;
    faults.burst = 40;
    faults.not_run = 10;
    faults.max_refusal_time = 1s;
    quota_fault_simulation simulation{1, faults};
    simulation.run(60s);
    EXPECT_LE(simulation.worst_excess(), 0);
    EXPECT_GE(simulation.accepted(), 0.97 * 40 * 60);
}

} // namespace savorywheel::test
