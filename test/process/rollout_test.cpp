#include <savorywheel/admin/override_planner.hpp>
#include <savorywheel/config/rfc3339_time.hpp>
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

std::string service_yaml(const std::string& name, const std::string& version,
                         const std::string& due)
{
    return fmt::format("  - name: {}\n    routes:\n      - {{path: /, deadline_ms: 2000}}\n"
                       "    versions:\n      - {{name: {}, weight: 100}}\n{}",
                       name, version, due.empty() ? "" : "    by: " + due + "\n");
}

std::string config_text(const std::string& bookdesk, const std::string& coldlog,
                        const std::string& due)
{
    return "failure_domains:\n  - {name: east-1, region: east}\n"
           "  - {name: west-1, region: west}\nservices:\n" +
           service_yaml("plugboard", "v1", "") +
           service_yaml("bookdesk", bookdesk, bookdesk == "v1" ? "" : due) +
           service_yaml("coldlog", coldlog, coldlog == "v1" ? "" : due);
}

std::string deadline_after(std::chrono::seconds delay)
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

void apply_and_wait(local_mesh& mesh, const std::string& text)
{
    ASSERT_TRUE(mesh.wait_for_members());
    const auto report = mesh.apply(caller, text);
    ASSERT_TRUE(report) << report.reason().message;
    ASSERT_EQ(report->outcome, "accepted") << report->reason;
    ASSERT_TRUE(mesh.wait_for_version(report->version));
}

http_object_store make_store(local_mesh& mesh)
{
    return {mesh.client(), mesh.platform_endpoint(), std::chrono::milliseconds{2000}};
}

/** Appends an override to the log in the store, bypassing the administration API. */
config_version append_override(local_mesh& mesh, const std::string& service, const char* version)
{
    auto store = make_store(mesh);
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
    auto store = make_store(mesh);
    const auto commits = commit_writer{store}.read_after(version);
    return commits ? *commits : std::vector<commit>{};
}

std::optional<std::size_t> controller_of(local_mesh& mesh, const std::string& service)
{
    auto store = make_store(mesh);
    const auto object = store.get("leases/rollout/" + service);
    const auto lease =
        object ? decode_json<lease_record>(object->value) : outcome<lease_record>{object.reason()};
    const auto nodes = members();
    const auto found =
        std::ranges::find(nodes, lease ? lease->holder.str() : "", &mesh_member::name);
    return found == nodes.end() ? std::nullopt
                                : std::optional{static_cast<std::size_t>(found - nodes.begin())};
}

/** Number of commits written by the rollout controller at a node. */
std::size_t count_steps_by(local_mesh& mesh, std::size_t node)
{
    const author_name author{"rollout controller at " + members()[node].name};
    const auto commits = commits_after(mesh, {});
    return static_cast<std::size_t>(std::ranges::count(commits, author, &commit::author));
}

bool log_contains(const local_mesh& mesh, const std::string& process, const std::string& event)
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

TEST(proof_rollout, good_version_finishes_by_the_deadline_and_bad_version_is_withdrawn)
{
    local_mesh mesh{100, members()};
    apply_and_wait(mesh, config_text("v1", "v1", ""));
    const steady_load bookdesk_load{mesh, {0, 1}, "bookdesk", "/book"};
    const steady_load coldlog_load{mesh, {0, 4}, "coldlog", "/log"};
    mesh.control_backend(cold_v2, "fail_permille=500");
    const auto due = std::chrono::system_clock::now() + std::chrono::seconds{30};
    apply_and_wait(mesh, config_text("v2", "v2", deadline_after(std::chrono::seconds{30})));
    EXPECT_TRUE(wait_until([&] { return has_move(mesh, "coldlog", "withdrawn"); }));
    const auto withdrawn = status_of(mesh, "coldlog");
    ASSERT_TRUE(withdrawn);
    EXPECT_NE(withdrawn->reason.find("failed"), std::string::npos) << withdrawn->reason;
    EXPECT_TRUE(
        wait_until([&] { return has_move(mesh, "bookdesk", "done"); }, std::chrono::seconds{40}));
    EXPECT_LE(std::chrono::system_clock::now(), due);
    const auto failed = coldlog_load.failures();
    fmt::print("bad version: {} of {} calls failed; good version: {} of {}\n", failed,
               coldlog_load.calls(), bookdesk_load.failures(), bookdesk_load.calls());
    EXPECT_LE(failed * 50, coldlog_load.calls());
}

// Without the store no withdrawal can be committed; nodes must stop the traffic by themselves.
TEST(proof_rollout, faulty_version_loses_its_traffic_while_the_store_is_down)
{
    local_mesh mesh{101, members()};
    apply_and_wait(mesh, config_text("v1", "v1", ""));
    const steady_load coldlog_load{mesh, {0, 4, 5}, "coldlog", "/log"};
    apply_and_wait(mesh, config_text("v1", "v2", deadline_after(std::chrono::seconds{60})));
    ASSERT_TRUE(wait_until([&] { return coldlog_load.responses_from_version("v2") >= 20; }));
    mesh.set_platform_fault("down=1");
    mesh.control_backend(cold_v2, "fail_permille=1000");
    ASSERT_TRUE(wait_until([&] { return coldlog_load.failures() > 0; }));
    std::size_t last = 0;
    const auto faulty_version_is_idle = [&] {
        const auto before = last;
        last = coldlog_load.calls();
        const auto now = coldlog_load.responses_from_version("v2");
        return wait_until([&] { return coldlog_load.calls() >= last + 300; }) && before > 0 &&
               coldlog_load.responses_from_version("v2") == now;
    };
    EXPECT_TRUE(wait_until(faulty_version_is_idle)) << "the faulty version still gets calls";
    fmt::print("store down: {} calls failed of {}\n", coldlog_load.failures(),
               coldlog_load.calls());
    EXPECT_TRUE(has_move(mesh, "coldlog", "in progress"));
    mesh.set_platform_fault("down=0");
    EXPECT_TRUE(wait_until([&] { return has_move(mesh, "coldlog", "withdrawn"); }));
}

TEST(proof_rollout, override_suspends_the_move_and_its_faults_are_logged)
{
    local_mesh mesh{102, members()};
    apply_and_wait(mesh, config_text("v1", "v1", ""));
    const steady_load bookdesk_load{mesh, {0, 1}, "bookdesk", "/book"};
    apply_and_wait(mesh, config_text("v2", "v1", deadline_after(std::chrono::seconds{30})));
    ASSERT_TRUE(wait_until([&] { return bookdesk_load.responses_from_version("v2") > 0; }));
    const auto set_at = append_override(mesh, "bookdesk", "v1");
    ASSERT_TRUE(mesh.wait_for_version(set_at));
    const auto before = bookdesk_load.responses_from_version("v2");
    const auto calls = bookdesk_load.calls();
    ASSERT_TRUE(wait_until([&] { return bookdesk_load.calls() >= calls + 1000; }));
    EXPECT_LE(bookdesk_load.responses_from_version("v2"), before + 2)
        << "more calls than were in flight";
    EXPECT_TRUE(commits_after(mesh, set_at).empty());
    const auto status = status_of(mesh, "bookdesk");
    ASSERT_TRUE(status && status->override_in_force);
    EXPECT_EQ(status->override_in_force->author, author_name{"anna"});
    EXPECT_EQ(status->move, "in progress");
    mesh.control_backend(book_v2, "fail_permille=1000");
    const auto faulty = append_override(mesh, "bookdesk", "v2");
    EXPECT_TRUE(wait_until([&] { return log_contains(mesh, "plug-1", "SW6007"); }));
    EXPECT_TRUE(commits_after(mesh, faulty).empty());
}

// The lease must pass on each time, and the log must stay valid when the paused node resumes.
TEST(proof_rollout, paused_and_killed_controllers_are_replaced)
{
    local_mesh mesh{103, members()};
    apply_and_wait(mesh, config_text("v1", "v1", ""));
    apply_and_wait(mesh, config_text("v2", "v1", deadline_after(std::chrono::seconds{30})));
    ASSERT_TRUE(wait_until([&] { return has_move(mesh, "bookdesk", "in progress"); }));
    ASSERT_TRUE(wait_until([&] { return controller_of(mesh, "bookdesk").has_value(); }));
    const auto first = *controller_of(mesh, "bookdesk");
    ASSERT_TRUE(wait_until([&] { return count_steps_by(mesh, first) > 0; }));
    mesh.node(first).signal(SIGSTOP);
    const auto has_new_controller = [&](std::size_t old) {
        const auto now = controller_of(mesh, "bookdesk");
        return now && *now != old && count_steps_by(mesh, *now) > 0;
    };
    ASSERT_TRUE(wait_until([&] { return has_new_controller(first); }));
    const auto second = *controller_of(mesh, "bookdesk");
    mesh.node(first).signal(SIGCONT);
    const auto steps_before = count_steps_by(mesh, second);
    ASSERT_TRUE(wait_until([&] { return count_steps_by(mesh, second) > steps_before; }));
    mesh.node(second).signal(SIGKILL);
    EXPECT_TRUE(wait_until([&] {
        const auto now = controller_of(mesh, "bookdesk");
        return now && *now != second;
    }));
    const auto third = *controller_of(mesh, "bookdesk");
    const auto steps = count_steps_by(mesh, third);
    EXPECT_TRUE(wait_until([&] { return count_steps_by(mesh, third) > steps; }));
    mesh_state state;
    for (const auto& item : commits_after(mesh, {})) {
        EXPECT_EQ(item.base.next(), item.version);
        const auto next = state.apply(item);
        ASSERT_TRUE(next) << next.reason().message;
        state = *next;
    }
}

TEST(proof_rollout, rewritten_commit_becomes_an_override_by_an_unknown_author)
{
    local_mesh mesh{104, members()};
    apply_and_wait(mesh, config_text("v1", "v1", ""));
    auto store = make_store(mesh);
    const auto object = store.get(commit_key({1}));
    ASSERT_TRUE(object);
    auto changed = decode_json<commit>(object->value);
    ASSERT_TRUE(changed);
    const auto bookdesk = std::ranges::find_if(changed->upserts, [](const service_state& service) {
        return service.spec.name == service_name{"bookdesk"};
    });
    ASSERT_NE(bookdesk, changed->upserts.end());
    bookdesk->weights = {{version_name{"v2"}, weight_sum_permille}};
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
    EXPECT_EQ(status_of(mesh, "bookdesk")->weights, bookdesk->weights);
    EXPECT_FALSE(status_of(mesh, "coldlog")->override_in_force);
}

} // namespace savorywheel::test
