#include <savorywheel/config/calendar_text.hpp>

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <support/local_mesh.hpp>
#include <support/steady_load.hpp>
#include <support/wait_until.hpp>

#include <algorithm>
#include <csignal>
#include <optional>

namespace savorywheel::test {

namespace {

constexpr std::size_t caller = 0;
constexpr std::size_t book_v2 = 3;
constexpr std::size_t cold_v2 = 6;

std::vector<mesh_member> members()
{
    return {{"plug-1", "east-1", "east", "plugboard"},
            {"book-1", "east-1", "east", "bookdesk"},
            {"book-2", "west-1", "west", "bookdesk"},
            {"book-3", "east-1", "east", "bookdesk", "v2"},
            {"cold-1", "east-1", "east", "coldlog"},
            {"cold-2", "west-1", "west", "coldlog"},
            {"cold-3", "east-1", "east", "coldlog", "v2"}};
}

std::string service_text(const std::string& name, const std::string& version,
                         const std::string& due)
{
    return fmt::format("  - name: {}\n    routes:\n      - {{path: /, deadline_ms: 2000}}\n"
                       "    versions:\n      - {{name: {}, weight: 100}}\n{}",
                       name, version, due.empty() ? "" : "    by: " + due + "\n");
}

std::string mesh_text(const std::string& book, const std::string& cold, const std::string& due)
{
    return "failure_domains:\n  - {name: east-1, region: east}\n"
           "  - {name: west-1, region: west}\nservices:\n" +
           service_text("plugboard", "v1", "") +
           service_text("bookdesk", book, book == "v1" ? "" : due) +
           service_text("coldlog", cold, cold == "v1" ? "" : due);
}

std::string due_in(std::chrono::seconds delay)
{
    const auto now = std::chrono::system_clock::now() + delay;
    return format_calendar_time(std::chrono::floor<std::chrono::milliseconds>(now));
}

std::optional<service_status> status_of(local_mesh& mesh, const std::string& service)
{
    const auto report = mesh.status(caller);
    if (!report) {
        return std::nullopt;
    }
    const auto found =
        std::ranges::find(report->services, service_name{service}, &service_status::service);
    return found == report->services.end() ? std::nullopt : std::optional{*found};
}

bool has_move(local_mesh& mesh, const std::string& service, const std::string& status)
{
    const auto found = status_of(mesh, service);
    return found && found->move == status;
}

void start_with(local_mesh& mesh, const std::string& text)
{
    ASSERT_TRUE(mesh.wait_for_members());
    const auto report = mesh.apply(caller, text);
    ASSERT_TRUE(report) << report.reason().message;
    ASSERT_EQ(report->outcome, "accepted") << report->reason;
    ASSERT_TRUE(mesh.wait_for_version(report->version));
}

} // namespace

TEST(proof_rollout, a_good_version_is_done_by_its_time_and_a_bad_one_is_withdrawn)
{
    local_mesh mesh{100, members()};
    start_with(mesh, mesh_text("v1", "v1", ""));
    const steady_load books{mesh, {0, 1}, "bookdesk", "/book"};
    const steady_load logs{mesh, {0, 4}, "coldlog", "/log"};
    mesh.control_backend(cold_v2, "fail_permille=500");
    const auto due = std::chrono::system_clock::now() + std::chrono::seconds{30};
    start_with(mesh, mesh_text("v2", "v2", due_in(std::chrono::seconds{30})));
    EXPECT_TRUE(wait_until([&] { return has_move(mesh, "coldlog", "withdrawn"); }));
    const auto withdrawn = status_of(mesh, "coldlog");
    ASSERT_TRUE(withdrawn);
    EXPECT_NE(withdrawn->reason.find("failed"), std::string::npos) << withdrawn->reason;
    EXPECT_TRUE(
        wait_until([&] { return has_move(mesh, "bookdesk", "done"); }, std::chrono::seconds{40}));
    EXPECT_LE(std::chrono::system_clock::now(), due);
    const auto failed = logs.failures();
    fmt::print("bad version: {} of {} calls failed; good version: {} of {}\n", failed, logs.calls(),
               books.failures(), books.calls());
    EXPECT_LE(failed * 50, logs.calls());
}

TEST(proof_rollout, a_faulty_version_is_taken_back_while_the_store_is_down)
{
    local_mesh mesh{101, members()};
    start_with(mesh, mesh_text("v1", "v1", ""));
    const steady_load logs{mesh, {0, 4, 5}, "coldlog", "/log"};
    start_with(mesh, mesh_text("v1", "v2", due_in(std::chrono::seconds{60})));
    ASSERT_TRUE(wait_until([&] { return logs.answers_of("v2") >= 20; }));
    mesh.set_platform_fault("down=1");
    mesh.control_backend(cold_v2, "fail_permille=1000");
    ASSERT_TRUE(wait_until([&] { return logs.failures() > 0; }));
    std::size_t last = 0;
    const auto quiet = [&] {
        const auto before = last;
        last = logs.calls();
        const auto now = logs.answers_of("v2");
        return wait_until([&] { return logs.calls() >= last + 300; }) && before > 0 &&
               logs.answers_of("v2") == now;
    };
    EXPECT_TRUE(wait_until(quiet)) << "the faulty version still gets calls";
    fmt::print("store down: {} calls failed of {}\n", logs.failures(), logs.calls());
    EXPECT_TRUE(has_move(mesh, "coldlog", "in progress"));
    mesh.set_platform_fault("down=0");
    EXPECT_TRUE(wait_until([&] { return has_move(mesh, "coldlog", "withdrawn"); }));
}

} // namespace savorywheel::test
