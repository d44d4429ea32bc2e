#include <gtest/gtest.h>
#include <support/booking_callers.hpp>
#include <support/call_history.hpp>
#include <support/local_mesh.hpp>
#include <support/wait_until.hpp>

#include <atomic>
#include <csignal>
#include <thread>

namespace savorywheel::test {

namespace {

constexpr const char* mesh_text = R"(failure_domains:
  - {name: east-1, region: east}
  - {name: west-1, region: west}
services:
  - name: bookdesk
    routes:
      - {path: /book, deadline_ms: 1000}
      - {path: /check, idempotent: true, deadline_ms: 1000}
    versions:
      - {name: v1, weight: 100}
)";

constexpr std::chrono::milliseconds phase{600};
constexpr std::chrono::seconds drain_limit{3};

std::vector<mesh_member> members()
{
    return {{"caller", "east-1", "east", ""},
            {"book-1", "east-1", "east", "bookdesk"},
            {"book-2", "east-1", "east", "bookdesk"},
            {"book-3", "east-1", "east", "bookdesk"}};
}

bool prepare(local_mesh& mesh)
{
    const auto report =
        mesh.wait_for_members() ? mesh.apply(0, mesh_text) : outcome<apply_report>{failure{}};
    return report && report->outcome == "accepted" && mesh.wait_for_version(report->version);
}

void expect_sound(const call_history& history, const local_mesh& mesh)
{
    for (const auto& finding : history.check(mesh.folder() / "executions")) {
        ADD_FAILURE() << finding;
    }
}

} // namespace

// Guards against a retry after an attempt that may have run: nodes are paused and backend servers
// killed in turn, and the executions are compared with the responses.
TEST(proof_at_most_once, bookings_run_at_most_once_while_nodes_pause_and_backend_servers_die)
{
    local_mesh mesh{60, members()};
    ASSERT_TRUE(prepare(mesh));
    for (std::size_t i = 1; i < mesh.size(); ++i) {
        mesh.control_backend(i, "latency_us=20000");
    }
    booking_callers callers{mesh, {0}};
    for (std::size_t i = 1; i < mesh.size(); ++i) {
        std::this_thread::sleep_for(phase);
        mesh.backend(i).signal(SIGKILL);
        std::this_thread::sleep_for(phase);
        mesh.start_backend(i);
        mesh.node(i).signal(SIGSTOP);
        std::this_thread::sleep_for(phase * 3);
        mesh.node(i).signal(SIGCONT);
    }
    callers.stop();
    expect_sound(callers.history(), mesh);
    EXPECT_GT(callers.history().answered(), 100U);
}

// A request that crashes its backend server must not take down more than two, although the caller
// sends it six times.
TEST(proof_crashing_request, stops_after_two_crashes_though_it_is_sent_again)
{
    local_mesh mesh{61, members()};
    ASSERT_TRUE(prepare(mesh));
    const http_request request{"POST", "/book", {{"x-crash", "1"}}, "the request that crashes"};
    outcome<http_response> last = failure{};
    for (int i = 0; i < 6; ++i) {
        last = mesh.call(0, "bookdesk", request);
        ASSERT_TRUE(last);
    }
    EXPECT_EQ(find_header(last->headers, "x-savorywheel-outcome"), "not-run");
    int crashed = 0;
    for (std::size_t i = 1; i < mesh.size(); ++i) {
        crashed += mesh.backend(i).running() ? 0 : 1;
    }
    EXPECT_EQ(crashed, 2);
}

// Drains one backend server and terminates another node under load: no request may fail, and the
// drained backend server may receive none after the drain time.
TEST(proof_drain, nodes_and_backend_servers_leave_without_a_cut_request)
{
    local_mesh mesh{62, members()};
    ASSERT_TRUE(prepare(mesh));
    for (std::size_t i = 1; i < mesh.size(); ++i) {
        mesh.control_backend(i, "latency_us=20000");
    }
    booking_callers callers{mesh, {0}};
    std::this_thread::sleep_for(phase);
    mesh.control_backend(1, "state=draining");
    std::this_thread::sleep_for(drain_limit);
    mesh.control_backend(1, "mark=drained");
    mesh.node(2).signal(SIGTERM);
    EXPECT_EQ(mesh.node(2).wait(), 0);
    std::this_thread::sleep_for(phase);
    callers.stop();
    expect_sound(callers.history(), mesh);
    EXPECT_EQ(callers.history().unknown(), 0U);
    EXPECT_EQ(callers.history().refused(), 0U);
    const auto late = mesh.client().send(mesh.backend_endpoint(1),
                                         {"GET", "/control?since_mark=1", {}, {}}, phase * 10);
    ASSERT_TRUE(late);
    EXPECT_EQ(late->body, "0\n");
}

TEST(proof_cancellation, a_caller_that_hangs_up_ends_its_call_at_the_backend_server)
{
    local_mesh mesh{
        63, {{"caller", "east-1", "east", ""}, {"book-1", "east-1", "east", "bookdesk", "v1", 1}}};
    ASSERT_TRUE(prepare(mesh));
    mesh.control_backend(1, "latency_us=900000");
    cancellation stop;
    std::thread caller{[&mesh, &stop] {
        static_cast<void>(mesh.client().send_until_cancelled(
            mesh.traffic_endpoint(0), {"POST", "/book", {{"Host", "bookdesk"}}, "x"}, phase * 10,
            stop));
    }};
    const auto running = [&mesh] {
        const auto state = mesh.state(1);
        return state ? state->running : 0U;
    };
    EXPECT_TRUE(wait_until([&running] { return running() == 1; }));
    const auto hung_up = std::chrono::steady_clock::now();
    stop.cancel();
    caller.join();
    EXPECT_TRUE(wait_until([&running] { return running() == 0; }));
    EXPECT_LT(std::chrono::steady_clock::now() - hung_up, phase);
}

} // namespace savorywheel::test
