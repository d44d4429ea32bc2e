#include <fmt/format.h>
#include <gtest/gtest.h>
#include <support/placement_simulation.hpp>

namespace savorywheel::test {

namespace {

constexpr int tenants_proxies = 83;
constexpr int uneven_proxies = 87;

/** Services and traffic of the table in docs/design/shared-mesh.md. Its notes leave open which
 * service runs which route; slow and fast routes are put together here. */
std::vector<placement_scenario> scenarios()
{
    return {
        {"tenants lookup",
         36,
         7,
         {0.7, 0.7, 1.6},
         {{"/status", 1208, 120, 400}, {"/inner", 455, 30, 120}},
         tenants_proxies},
        {"tenants order", 24, 7, {0.6, 1.0, 1.4}, {{"/switch", 455, 160, 500}}, tenants_proxies},
        {"tenants ledger",
         23,
         7,
         {0.5, 1.0, 1.0, 1.5},
         {{"/ledger", 337, 300, 2000}, {"/inner", 455, 30, 120}},
         tenants_proxies},
        {"uneven registry",
         51,
         9,
         {0.5, 1.0, 1.0, 1.5},
         {{"/status", 746, 190, 1000}, {"/history", 149, 750, 2500}, {"/inner", 244, 55, 200}},
         uneven_proxies},
        {"uneven charge",
         36,
         9,
         {0.5, 1.0, 1.0, 1.5},
         {{"/charge", 244, 250, 1000}, {"/photo", 90.9, 220, 1200}},
         uneven_proxies},
    };
}

placement_result run(const placement_scenario& scenario, placement_rule rule)
{
    constexpr std::uint64_t seed = 20261207;
    return placement_simulation{scenario, rule, seed}.run();
}

/** Part of the difference between today's rule and full knowledge that is closed, in percent. */
double closed(double count, double work, double bound)
{
    return count == bound ? 0.0 : 100.0 * (count - work) / (count - bound);
}

} // namespace

// Guards against a rule that is worse than counting calls, for example because nodes with the same
// reports select the same backend server, or because a wrong speed keeps calls away from one.
TEST(request_cost, placing_by_work_is_not_worse_than_by_count)
{
    for (const auto& scenario : scenarios()) {
        const auto count = run(scenario, placement_rule::count);
        const auto work = run(scenario, placement_rule::work);
        const auto bound = run(scenario, placement_rule::full_knowledge);
        fmt::print("{}: count / work / full knowledge: mean {:.1f} / {:.1f} / {:.1f} ms ({:.0f} % "
                   "of the gap closed), p99 {:.0f} / {:.0f} / {:.0f} ms ({:.0f} %), in time {:.2f} "
                   "/ {:.2f} / {:.2f} % ({:.0f} %)\n",
                   scenario.name, count.mean_ms, work.mean_ms, bound.mean_ms,
                   closed(count.mean_ms, work.mean_ms, bound.mean_ms), count.p99_ms, work.p99_ms,
                   bound.p99_ms, closed(count.p99_ms, work.p99_ms, bound.p99_ms),
                   100.0 * count.in_time, 100.0 * work.in_time, 100.0 * bound.in_time,
                   closed(count.in_time, work.in_time, bound.in_time));
        EXPECT_LE(work.mean_ms, count.mean_ms) << scenario.name;
        EXPECT_LE(work.p99_ms, count.p99_ms) << scenario.name;
        EXPECT_GE(work.in_time, count.in_time) << scenario.name;
    }
}

} // namespace savorywheel::test
