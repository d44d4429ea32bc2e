#include <gtest/gtest.h>
#include <support/booking_callers.hpp>
#include <support/call_history.hpp>
#include <support/local_mesh.hpp>
#include <support/wait_until.hpp>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <thread>

namespace savorywheel::test {

namespace {

constexpr const char* config_text = R"(failure_domains:
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
constexpr std::chrono::seconds drain_time{3};
constexpr std::chrono::seconds recovery_limit{20};
/** After this time without a fault, all bounds hold. */
constexpr std::chrono::seconds settling_time{3};

std::vector<mesh_member> members()
{
    return {{"caller", "east-1", "east", ""},
            {"book-1", "east-1", "east", "bookdesk"},
            {"book-2", "east-1", "east", "bookdesk"},
            {"book-3", "east-1", "east", "bookdesk"}};
}

bool apply_initial_config(local_mesh& mesh)
{
    const auto report =
        mesh.wait_for_members() ? mesh.apply(0, config_text) : outcome<change_report>{failure{}};
    return report && report->outcome == "accepted" && mesh.wait_for_version(report->version);
}

/** True if node 0 knows that the backend server of a node serves. */
bool serves(local_mesh& mesh, std::size_t index)
{
    const auto state = mesh.state(0);
    const auto peer = mesh.peer_endpoint(index);
    return state && std::ranges::any_of(state->members, [&](const member_update& item) {
               return item.record.peer == peer && item.status == member_status::alive &&
                      item.record.state == server_state::serving;
           });
}

void expect_no_findings(const call_history& history, const local_mesh& mesh)
{
    for (const auto& finding : history.check(mesh.folder() / "executions")) {
        ADD_FAILURE() << finding;
    }
}

} // namespace

// Guards against a retry after an attempt that may have run: nodes are paused and backend servers
// killed in turn, and the executions are compared with the responses.
TEST(proof_at_most_once, bookings_run_at_most_once_despite_node_pauses_and_backend_server_crashes)
{
    local_mesh mesh{60, members()};
    ASSERT_TRUE(apply_initial_config(mesh));
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
    expect_no_findings(callers.history(), mesh);
    EXPECT_GT(callers.history().answered(), 100U);
}

// A request that crashes its backend server must not take down more than two, although the caller
// sends it six times.
TEST(proof_crashing_request, crashing_request_is_blocked_after_two_crashes)
{
    local_mesh mesh{61, members()};
    ASSERT_TRUE(apply_initial_config(mesh));
    const http_request request{"POST", "/book", {{"x-crash", "1"}}, "the request that crashes"};
    outcome<http_response> last_response = failure{};
    for (int i = 0; i < 6; ++i) {
        last_response = mesh.call(0, "bookdesk", request);
        ASSERT_TRUE(last_response);
    }
    EXPECT_EQ(find_header(last_response->headers, "x-savorywheel-outcome"), "not-run");
    int crashed = 0;
    for (std::size_t i = 1; i < mesh.size(); ++i) {
        crashed += mesh.backend(i).running() ? 0 : 1;
    }
    EXPECT_EQ(crashed, 2);
}

// Guards against review case 9: a node that was stopped and started did not know which requests
// crash backend servers, and let each of them reach its backend server again.
TEST(proof_crashing_request, crashing_request_stays_blocked_while_nodes_restart_in_turn)
{
    local_mesh mesh{76, members()};
    ASSERT_TRUE(apply_initial_config(mesh));
    const http_request request{"POST", "/book", {{"x-crash", "1"}}, "the request that crashes"};
    const auto send_repeatedly = [&] {
        for (int i = 0; i < 6; ++i) {
            ASSERT_TRUE(mesh.call(0, "bookdesk", request));
        }
    };
    send_repeatedly();
    for (std::size_t i = 1; i < mesh.size(); ++i) {
        if (!mesh.backend(i).running()) {
            mesh.start_backend(i);
        }
    }
    for (std::size_t i = 1; i < mesh.size(); ++i) {
        mesh.node(i).signal(SIGKILL);
        mesh.start_node(i);
        ASSERT_TRUE(wait_until([&] { return serves(mesh, i); }, recovery_limit));
        std::this_thread::sleep_for(settling_time);
        send_repeatedly();
    }
    for (std::size_t i = 1; i < mesh.size(); ++i) {
        EXPECT_TRUE(mesh.backend(i).running()) << i;
    }
}

// Drains one backend server and terminates another node under load: no request may fail, and the
// drained backend server may receive none after the drain time.
TEST(proof_drain, draining_and_shutdown_interrupt_no_request)
{
    local_mesh mesh{62, members()};
    ASSERT_TRUE(apply_initial_config(mesh));
    for (std::size_t i = 1; i < mesh.size(); ++i) {
        mesh.control_backend(i, "latency_us=20000");
    }
    booking_callers callers{mesh, {0}};
    std::this_thread::sleep_for(phase);
    mesh.control_backend(1, "state=draining");
    std::this_thread::sleep_for(drain_time);
    mesh.control_backend(1, "mark=drained");
    mesh.node(2).signal(SIGTERM);
    EXPECT_EQ(mesh.node(2).wait(), 0);
    std::this_thread::sleep_for(phase);
    callers.stop();
    expect_no_findings(callers.history(), mesh);
    EXPECT_EQ(callers.history().unknown(), 0U);
    EXPECT_EQ(callers.history().refused(), 0U);
    const auto calls_after_drain = mesh.client().send(
        mesh.backend_endpoint(1), {"GET", "/control?since_mark=1", {}, {}}, phase * 10);
    ASSERT_TRUE(calls_after_drain);
    EXPECT_EQ(calls_after_drain->body, "0\n");
}

TEST(proof_cancellation, caller_disconnect_cancels_its_call_at_the_backend_server)
{
    local_mesh mesh{
        63, {{"caller", "east-1", "east", ""}, {"book-1", "east-1", "east", "bookdesk", "v1", 1}}};
    ASSERT_TRUE(apply_initial_config(mesh));
    mesh.control_backend(1, "latency_us=900000");
    cancellation cancel_signal;
    std::thread caller{[&mesh, &cancel_signal] {
        static_cast<void>(mesh.client().send_until_cancelled(
            mesh.traffic_endpoint(0), {"POST", "/book", {{"Host", "bookdesk"}}, "x"}, phase * 10,
            cancel_signal));
    }};
    const auto running = [&mesh] {
        const auto state = mesh.state(1);
        return state ? state->running : 0U;
    };
    EXPECT_TRUE(wait_until([&running] { return running() == 1; }));
    const auto disconnected_at = std::chrono::steady_clock::now();
    cancel_signal.cancel();
    caller.join();
    EXPECT_TRUE(wait_until([&running] { return running() == 0; }));
    EXPECT_LT(std::chrono::steady_clock::now() - disconnected_at, phase);
}

} // namespace savorywheel::test
