#include <gtest/gtest.h>
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

/** Callers that book without end, each request once. */
class booking_callers {
public:
    explicit booking_callers(local_mesh& mesh) : mesh_{mesh}
    {
        for (int i = 0; i < callers; ++i) {
            threads_.emplace_back([this, i] { run(i); });
        }
    }
    booking_callers(const booking_callers&) = delete;
    booking_callers& operator=(const booking_callers&) = delete;
    booking_callers(booking_callers&&) = delete;
    booking_callers& operator=(booking_callers&&) = delete;
    ~booking_callers() { stop(); }

    void stop()
    {
        stopping_ = true;
        for (auto& thread : threads_) {
            if (thread.joinable()) {
                thread.join();
            }
        }
    }

    [[nodiscard]] const call_history& history() const noexcept { return history_; }

private:
    static constexpr int callers = 8;

    void run(int caller)
    {
        for (int number = 0; !stopping_; ++number) {
            const auto id = std::to_string(caller) + "-" + std::to_string(number);
            history_.add(id, "POST /book\n" + id,
                         mesh_.call(0, "bookdesk", {"POST", "/book", {{"x-request", id}}, id}));
        }
    }

    local_mesh& mesh_;
    call_history history_;
    std::atomic<bool> stopping_{};
    std::vector<std::thread> threads_;
};

void expect_sound(const call_history& history, const local_mesh& mesh)
{
    for (const auto& finding : history.check(mesh.folder() / "executions")) {
        ADD_FAILURE() << finding;
    }
}

} // namespace

TEST(proof_at_most_once, bookings_run_at_most_once_while_nodes_pause_and_backend_servers_die)
{
    local_mesh mesh{60, members()};
    ASSERT_TRUE(prepare(mesh));
    for (std::size_t i = 1; i < mesh.size(); ++i) {
        mesh.control_backend(i, "latency_us=20000");
    }
    booking_callers callers{mesh};
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

} // namespace savorywheel::test
