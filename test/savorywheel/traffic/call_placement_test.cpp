#include <savorywheel/traffic/call_placement.hpp>

#include <gtest/gtest.h>

namespace savorywheel::test {

namespace {

using std::chrono::milliseconds;

struct placement_fixture {
    placement_fixture()
    {
        call.service = service_name{"s"};
        call.route = "/a";
    }

    void run(const node_id& endpoint, int status, milliseconds run_time)
    {
        const auto sent = subject.begin(call, endpoint, now);
        now += run_time + milliseconds{1};
        call_response outcome{call_result::answered, call_refusal::none, {}, {status, {}, {}}};
        outcome.run_time = run_time;
        outcome.load = gate_load{1, 0, milliseconds{100}, milliseconds{50}};
        subject.end(call, endpoint, sent, outcome, now);
    }

    load_table loads;
    metric_registry metrics;
    call_placement subject{loads, metrics};
    call_request call;
    monotonic_time now{milliseconds{1000}};
};

const node_id good{"good"};
const node_id bad{"bad"};

} // namespace

// Guards against sending the calls of a service to a backend server that fails them at once.
TEST(call_placement, failures_do_not_make_a_backend_server_look_fast)
{
    placement_fixture mesh;
    for (int i = 0; i < 50; ++i) {
        mesh.run(good, 200, milliseconds{100});
        mesh.run(bad, 500, milliseconds{1});
    }
    EXPECT_EQ(mesh.loads.load_of(bad, mesh.now).slowness, 1.0);
    EXPECT_EQ(mesh.subject.expected(mesh.call).mean, milliseconds{100});
}

TEST(call_placement, service_time_longer_than_the_call_is_not_believed)
{
    placement_fixture mesh;
    const auto sent = mesh.subject.begin(mesh.call, good, mesh.now);
    call_response outcome{call_result::answered, call_refusal::none, {}, {200, {}, {}}};
    outcome.run_time = std::chrono::hours{1};
    mesh.now += milliseconds{10};
    mesh.subject.end(mesh.call, good, sent, outcome, mesh.now);
    EXPECT_EQ(mesh.subject.expected(mesh.call).mean, milliseconds{10});
}

TEST(call_placement, counts_calls_by_rule_and_compares_expectations)
{
    placement_fixture mesh;
    mesh.run(good, 200, milliseconds{100});
    mesh.run(good, 200, milliseconds{100});
    mesh.run(good, 200, milliseconds{110});
    EXPECT_EQ(mesh.metrics.count({"calls_placed", "by", "count"}), 1U);
    EXPECT_EQ(mesh.metrics.count({"calls_placed", "by", "work"}), 2U);
    EXPECT_EQ(mesh.metrics.count("run_time_expected_us"), 200'000U);
    EXPECT_EQ(mesh.metrics.count("run_time_actual_us"), 210'000U);
    EXPECT_EQ(mesh.metrics.count("run_time_error_us"), 10'000U);
}

} // namespace savorywheel::test
