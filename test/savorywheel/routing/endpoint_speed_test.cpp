#include <savorywheel/routing/endpoint_speed.hpp>
#include <savorywheel/routing/load_table.hpp>

#include <gtest/gtest.h>

#include <random>
#include <string>
#include <vector>

namespace savorywheel::test {

namespace {

using std::chrono::milliseconds;

duration scaled(duration length, double factor)
{
    return std::chrono::duration_cast<duration>(length * factor);
}

} // namespace

TEST(endpoint_speed, is_average_until_known_and_then_what_the_gate_reports)
{
    endpoint_speed subject;
    EXPECT_EQ(subject.slowness(), 1.0);
    subject.set_reported(2.0);
    EXPECT_NEAR(subject.slowness(), 2.0, 0.01);
}

// Guards against a backend server that loses its calls because a few of them took long.
TEST(endpoint_speed, single_long_calls_hardly_change_it)
{
    endpoint_speed subject;
    std::mt19937_64 engine{1};
    std::lognormal_distribution<double> length{0.0, 0.6};
    for (int i = 0; i < 500; ++i) {
        subject.record(scaled(milliseconds{100}, length(engine)), milliseconds{100});
        EXPECT_GT(subject.slowness(), 0.75);
        EXPECT_LT(subject.slowness(), 1.35);
    }
    const auto before = subject.slowness();
    subject.record(milliseconds{1000}, milliseconds{100});
    EXPECT_LT(subject.slowness(), before * 1.05);
}

TEST(endpoint_speed, learns_a_slow_backend_server_although_the_gate_reports_an_average_one)
{
    endpoint_speed subject;
    for (int i = 0; i < 100; ++i) {
        subject.record(milliseconds{300}, milliseconds{100});
    }
    EXPECT_GT(subject.slowness(), 2.0);
}

// Guards against an average so long that calls go on to a backend server that has become slow.
TEST(endpoint_speed, shows_within_ten_calls_that_a_backend_server_has_become_three_times_as_slow)
{
    load_table subject;
    constexpr std::size_t endpoints_in_region = 8;
    std::vector<route_endpoint> endpoints(endpoints_in_region);
    std::vector<endpoint_candidate> candidates;
    candidates.reserve(endpoints_in_region);
    for (auto& endpoint : endpoints) {
        endpoint.node = node_id{std::to_string(candidates.size())};
        candidates.push_back({&endpoint});
    }
    const auto& slow = endpoints[0].node;
    const auto slowness_after = [&](milliseconds run_time, int calls) {
        for (int i = 0; i < calls; ++i) {
            subject.record_run(slow, run_time, milliseconds{100}, run_time);
            for (const auto& endpoint : endpoints) {
                const auto mean = endpoint.node == slow ? run_time : milliseconds{100};
                subject.report(endpoint.node, {1, 0, mean, milliseconds{50}}, monotonic_time{});
            }
            subject.read(candidates, monotonic_time{});
        }
        return candidates[0].load.slowness;
    };
    EXPECT_NEAR(slowness_after(milliseconds{100}, 100), 1.0, 0.1);
    EXPECT_GT(slowness_after(milliseconds{300}, 10), 1.5);
}

} // namespace savorywheel::test
