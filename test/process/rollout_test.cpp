#include <savorywheel/admin/override_planner.hpp>
#include <savorywheel/config/calendar_text.hpp>
#include <savorywheel/distribution/commit_keys.hpp>
#include <savorywheel/distribution/commit_writer.hpp>
#include <savorywheel/distribution/lease_record.hpp>
#include <savorywheel/encoding/codec.hpp>
#include <savorywheel/store/http_object_store.hpp>

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <support/local_mesh.hpp>
#include <support/steady_load.hpp>
#include <support/wait_until.hpp>

#include <algorithm>
#include <array>
#include <csignal>
#include <fstream>
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

http_object_store store_of(local_mesh& mesh)
{
    return {mesh.client(), mesh.platform_endpoint(), std::chrono::milliseconds{2000}};
}

/** Appends an override to the log in the store, bypassing the administration API. */
config_version set_override(local_mesh& mesh, const std::string& service, const char* version)
{
    auto store = store_of(mesh);
    commit_writer writer{store};
    while (true) {
        mesh_state state;
        const auto commits = writer.read_after({});
        for (const auto& item : *commits) {
            state = *state.apply(item);
        }
        const std::array<version_weight, 1> weights{{{version_name{version}, weight_sum_permille}}};
        auto change =
            plan_override_set(state, service_name{service}, weights, author_name{"anna"}, "alarm",
                              state.find(service_name{service})->move->started_at, state.version());
        change->operation = operation_id{fmt::format("override {}", state.version().number)};
        if (writer.append(*change)) {
            return change->version;
        }
    }
}

std::vector<commit> commits_after(local_mesh& mesh, config_version version)
{
    auto store = store_of(mesh);
    const auto commits = commit_writer{store}.read_after(version);
    return commits ? *commits : std::vector<commit>{};
}

std::optional<std::size_t> controller_of(local_mesh& mesh, const std::string& service)
{
    auto store = store_of(mesh);
    const auto object = store.get("leases/rollout/" + service);
    const auto lease =
        object ? decode_json<lease_record>(object->value) : outcome<lease_record>{object.reason()};
    const auto all = members();
    const auto found = std::ranges::find(all, lease ? lease->holder.str() : "", &mesh_member::name);
    return found == all.end() ? std::nullopt
                              : std::optional{static_cast<std::size_t>(found - all.begin())};
}

/** Number of commits written by the rollout controller at a node. */
std::size_t steps_by(local_mesh& mesh, std::size_t node)
{
    const author_name author{"rollout controller at " + members()[node].name};
    const auto commits = commits_after(mesh, {});
    return static_cast<std::size_t>(std::ranges::count(commits, author, &commit::author));
}

bool logs_event(const local_mesh& mesh, const std::string& process, const std::string& event)
{
    std::ifstream log{mesh.folder() / (process + ".log")};
    for (std::string line; std::getline(log, line);) {
        if (line.find(event) != std::string::npos) {
            return true;
        }
    }
    return false;
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

// Without the store no withdrawal can be committed; nodes must stop the traffic by themselves.
TEST(proof_rollout, a_faulty_version_is_withdrawn_while_the_store_is_down)
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

TEST(proof_rollout, an_override_during_a_move_stands_and_a_fault_under_it_is_told)
{
    local_mesh mesh{102, members()};
    start_with(mesh, mesh_text("v1", "v1", ""));
    const steady_load books{mesh, {0, 1}, "bookdesk", "/book"};
    start_with(mesh, mesh_text("v2", "v1", due_in(std::chrono::seconds{30})));
    ASSERT_TRUE(wait_until([&] { return books.answers_of("v2") > 0; }));
    const auto set_at = set_override(mesh, "bookdesk", "v1");
    ASSERT_TRUE(mesh.wait_for_version(set_at));
    const auto before = books.answers_of("v2");
    const auto calls = books.calls();
    ASSERT_TRUE(wait_until([&] { return books.calls() >= calls + 1000; }));
    EXPECT_LE(books.answers_of("v2"), before + 2) << "more calls than were in flight";
    EXPECT_TRUE(commits_after(mesh, set_at).empty());
    const auto status = status_of(mesh, "bookdesk");
    ASSERT_TRUE(status && status->override_in_force);
    EXPECT_EQ(status->override_in_force->author, author_name{"anna"});
    EXPECT_EQ(status->move, "in progress");
    mesh.control_backend(book_v2, "fail_permille=1000");
    const auto faulty = set_override(mesh, "bookdesk", "v2");
    EXPECT_TRUE(wait_until([&] { return logs_event(mesh, "plug-1", "SW6007"); }));
    EXPECT_TRUE(commits_after(mesh, faulty).empty());
}

// The lease must pass on each time, and the log must stay valid when the paused node resumes.
TEST(proof_rollout, a_paused_and_a_killed_controller_are_replaced)
{
    local_mesh mesh{103, members()};
    start_with(mesh, mesh_text("v1", "v1", ""));
    start_with(mesh, mesh_text("v2", "v1", due_in(std::chrono::seconds{30})));
    ASSERT_TRUE(wait_until([&] { return has_move(mesh, "bookdesk", "in progress"); }));
    ASSERT_TRUE(wait_until([&] { return controller_of(mesh, "bookdesk").has_value(); }));
    const auto first = *controller_of(mesh, "bookdesk");
    ASSERT_TRUE(wait_until([&] { return steps_by(mesh, first) > 0; }));
    mesh.node(first).signal(SIGSTOP);
    const auto replaced = [&](std::size_t old) {
        const auto now = controller_of(mesh, "bookdesk");
        return now && *now != old && steps_by(mesh, *now) > 0;
    };
    ASSERT_TRUE(wait_until([&] { return replaced(first); }));
    const auto second = *controller_of(mesh, "bookdesk");
    mesh.node(first).signal(SIGCONT);
    const auto seen = steps_by(mesh, second);
    ASSERT_TRUE(wait_until([&] { return steps_by(mesh, second) > seen; }));
    mesh.node(second).signal(SIGKILL);
    EXPECT_TRUE(wait_until([&] {
        const auto now = controller_of(mesh, "bookdesk");
        return now && *now != second;
    }));
    const auto third = *controller_of(mesh, "bookdesk");
    const auto steps = steps_by(mesh, third);
    EXPECT_TRUE(wait_until([&] { return steps_by(mesh, third) > steps; }));
    mesh_state state;
    for (const auto& item : commits_after(mesh, {})) {
        EXPECT_EQ(item.base.next(), item.version);
        const auto next = state.apply(item);
        ASSERT_TRUE(next) << next.reason().message;
        state = *next;
    }
}

TEST(proof_rollout, a_commit_changed_past_the_tool_becomes_an_override_of_an_unknown_author)
{
    local_mesh mesh{104, members()};
    start_with(mesh, mesh_text("v1", "v1", ""));
    auto store = store_of(mesh);
    const auto object = store.get(commit_key({1}));
    ASSERT_TRUE(object);
    auto changed = decode_json<commit>(object->value);
    ASSERT_TRUE(changed);
    const auto book = std::ranges::find_if(changed->upserts, [](const service_state& service) {
        return service.spec.name == service_name{"bookdesk"};
    });
    ASSERT_NE(book, changed->upserts.end());
    book->weights = {{version_name{"v2"}, weight_sum_permille}};
    ASSERT_TRUE(store.update(object->key, encode_json(*changed), object->revision));
    EXPECT_TRUE(wait_until([&] {
        const auto status = status_of(mesh, "bookdesk");
        return status && status->override_in_force &&
               status->override_in_force->author == author_name{"unknown"};
    }));
    const auto commits = commits_after(mesh, {1});
    ASSERT_EQ(commits.size(), 1U)
        << "both relays detect the rewrite; only one override may be written";
    EXPECT_EQ(commits.front().kind, commit_kind::override_set);
    EXPECT_EQ(status_of(mesh, "bookdesk")->weights, book->weights);
    EXPECT_FALSE(status_of(mesh, "coldlog")->override_in_force);
}

} // namespace savorywheel::test
