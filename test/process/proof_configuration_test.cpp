#include <savorywheel/config/commit.hpp>
#include <savorywheel/distribution/commit_keys.hpp>
#include <savorywheel/encoding/codec.hpp>

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <support/local_mesh.hpp>
#include <support/version_history.hpp>
#include <support/wait_until.hpp>

#include <algorithm>
#include <array>
#include <csignal>
#include <fstream>
#include <iterator>
#include <span>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

namespace savorywheel::test {

namespace {

using std::chrono_literals::operator""s;

constexpr auto convergence_bound = 4s;

std::string config_with_deadline(int deadline_ms)
{
    return fmt::format("failure_domains:\n"
                       "  - {{name: a-1, region: north}}\n"
                       "  - {{name: b-1, region: north}}\n"
                       "  - {{name: c-1, region: south}}\n"
                       "services:\n"
                       "  - name: bookdesk\n"
                       "    routes:\n"
                       "      - {{path: /book, deadline_ms: {}}}\n"
                       "    versions:\n"
                       "      - {{name: v1, weight: 100}}\n",
                       deadline_ms);
}

std::vector<mesh_member> five_members()
{
    return {{"a1", "a-1", "north", "bookdesk"},
            {"b1", "b-1", "north", "bookdesk"},
            {"b2", "b-1", "north", "bookdesk"},
            {"c1", "c-1", "south", "bookdesk"},
            {"c2", "c-1", "south", "bookdesk"}};
}

/** Version in use at a node; zero if it does not respond. */
config_version version_used_by(local_mesh& mesh, std::size_t index)
{
    const auto dump = mesh.state(index);
    return dump ? dump->version : config_version{};
}

bool any_log_contains(const local_mesh& mesh, const std::string& event)
{
    return std::ranges::any_of(five_members(), [&](const auto& member) {
        std::ifstream file{mesh.folder() / (member.name + ".log")};
        std::stringstream text;
        text << file.rdbuf();
        return text.str().find(event) != std::string::npos;
    });
}

/** Those of the given nodes that are relays. */
std::vector<std::size_t> find_relays(local_mesh& mesh, std::span<const std::size_t> nodes)
{
    std::vector<std::size_t> relays;
    std::ranges::copy_if(nodes, std::back_inserter(relays), [&](auto index) {
        const auto dump = mesh.state(index);
        return dump && dump->relay;
    });
    return relays;
}

/** True if all given nodes use at least the version within the convergence bound. */
bool converge_on(local_mesh& mesh, std::span<const std::size_t> nodes, config_version version)
{
    return wait_until(
        [&] {
            return std::ranges::all_of(
                nodes, [&](auto index) { return version_used_by(mesh, index) >= version; });
        },
        convergence_bound);
}

void apply_initial_config(local_mesh& mesh)
{
    ASSERT_TRUE(mesh.wait_for_members());
    const auto report = mesh.apply(0, config_with_deadline(1000));
    ASSERT_TRUE(report) << report.reason().message;
    ASSERT_EQ(report->outcome, "accepted") << report->reason;
    ASSERT_TRUE(mesh.wait_for_version({1}));
}

constexpr std::array<std::size_t, 5> all_nodes{0, 1, 2, 3, 4};
constexpr std::array<std::size_t, 2> last_domain{3, 4};

} // namespace

// A node that used version 2 is killed and restarts while the store is down and the only reachable
// peer still uses version 1. It must not use version 1 and waits for a peer with version 2.
TEST(proof_floor, restarted_node_never_uses_an_older_version_during_a_store_outage)
{
    local_mesh mesh{20, five_members()};
    apply_initial_config(mesh);
    version_history history;
    history.record("a1", version_used_by(mesh, 0));
    ASSERT_TRUE(wait_until([&] { return find_relays(mesh, last_domain).size() == 1; }));
    const std::size_t lagging_node = find_relays(mesh, last_domain).front() == 3 ? 4 : 3;
    mesh.node(3).signal(SIGSTOP);
    mesh.node(4).signal(SIGSTOP);
    const auto second = mesh.apply(0, config_with_deadline(2000));
    ASSERT_TRUE(second && second->outcome == "accepted");
    constexpr std::array<std::size_t, 3> running{0, 1, 2};
    ASSERT_TRUE(converge_on(mesh, running, {2}));
    history.record("a1", version_used_by(mesh, 0));

    mesh.set_platform_fault("down=1");
    mesh.node(0).signal(SIGKILL);
    static_cast<void>(mesh.node(0).wait());
    mesh.node(1).signal(SIGSTOP);
    mesh.node(2).signal(SIGSTOP);
    // The only other running node has not received version 2.
    mesh.node(lagging_node).signal(SIGCONT);
    mesh.start_node(0);
    const auto has_joined_peer = [&] {
        const auto dump = mesh.state(0);
        history.record("a1", dump ? dump->version : config_version{});
        return dump && dump->known_version >= config_version{1};
    };
    ASSERT_TRUE(wait_until(has_joined_peer));
    EXPECT_FALSE(wait_until(
        [&] {
            history.record("a1", version_used_by(mesh, 0));
            return !history.faults().empty();
        },
        2s));
    mesh.node(1).signal(SIGCONT);
    mesh.node(2).signal(SIGCONT);
    EXPECT_TRUE(wait_until([&] {
        history.record("a1", version_used_by(mesh, 0));
        return version_used_by(mesh, 0) >= config_version{2};
    }));
    EXPECT_EQ(history.faults(), "");
}

TEST(proof_store, node_restarts_from_peers_during_a_store_outage_and_changes_propagate_after_it)
{
    local_mesh mesh{21, five_members()};
    apply_initial_config(mesh);
    version_history history;
    mesh.set_platform_fault("down=1");
    mesh.node(2).signal(SIGKILL);
    static_cast<void>(mesh.node(2).wait());
    mesh.start_node(2);
    constexpr std::array<std::size_t, 1> restarted{2};
    EXPECT_TRUE(converge_on(mesh, restarted, {1}));
    const auto refused = mesh.apply(0, config_with_deadline(2000));
    ASSERT_TRUE(refused);
    EXPECT_EQ(refused->outcome, "refused");
    const auto response = mesh.call(2, "bookdesk", {"POST", "/book", {}, "plug"});
    ASSERT_TRUE(response) << response.reason().message;
    EXPECT_EQ(response->status, 200) << response->body;
    mesh.set_platform_fault("down=0");
    const auto accepted = mesh.apply(1, config_with_deadline(2000));
    ASSERT_TRUE(accepted && accepted->outcome == "accepted");
    EXPECT_TRUE(converge_on(mesh, all_nodes, {2}));
}

// All relays are killed before the change and the store fails right after its commit, so that the
// other nodes must distribute the change among themselves.
TEST(proof_herd, change_converges_in_time_without_relays_and_store)
{
    local_mesh mesh{22, five_members()};
    apply_initial_config(mesh);
    ASSERT_TRUE(wait_until([&] { return find_relays(mesh, all_nodes).size() == 3; }));
    const auto relays = find_relays(mesh, all_nodes);
    std::vector<std::size_t> others;
    for (const auto index : all_nodes) {
        if (std::ranges::find(relays, index) == relays.end()) {
            others.push_back(index);
        }
    }
    for (const auto index : relays) {
        mesh.node(index).signal(SIGKILL);
        static_cast<void>(mesh.node(index).wait());
    }
    const auto report = mesh.apply(others.front(), config_with_deadline(2000));
    mesh.set_platform_fault("down=1");
    ASSERT_TRUE(report && report->outcome == "accepted");
    EXPECT_TRUE(converge_on(mesh, others, report->version));
    mesh.set_platform_fault("down=0");
    for (const auto index : relays) {
        mesh.start_node(index);
    }
    EXPECT_TRUE(converge_on(mesh, all_nodes, report->version));
}

TEST(proof_herd, restarted_failure_domain_converges_in_time_during_a_store_outage)
{
    local_mesh mesh{23, five_members()};
    apply_initial_config(mesh);
    version_history history;
    for (const auto index : all_nodes) {
        history.record(std::to_string(index), version_used_by(mesh, index));
    }
    for (const std::size_t index : {1, 2}) {
        mesh.node(index).signal(SIGKILL);
        static_cast<void>(mesh.node(index).wait());
    }
    const auto report = mesh.apply(0, config_with_deadline(2000));
    ASSERT_TRUE(report && report->outcome == "accepted");
    mesh.set_platform_fault("down=1");
    mesh.start_node(1);
    mesh.start_node(2);
    EXPECT_TRUE(converge_on(mesh, all_nodes, report->version));
    for (const auto index : all_nodes) {
        history.record(std::to_string(index), version_used_by(mesh, index));
    }
    EXPECT_EQ(history.faults(), "");
}

// An operator writes a malformed commit straight to the store. Nodes must stay at the version
// before it, log the fault and refuse changes until the commit is replaced.
TEST(proof_bad_version, malformed_commit_blocks_the_log_until_it_is_replaced)
{
    local_mesh mesh{25, five_members()};
    apply_initial_config(mesh);
    const auto target = "/objects/" + commit_key({2});
    const auto put_object = [&](std::string condition, std::string value, std::string body) {
        return mesh.client().send(
            mesh.platform_endpoint(),
            {"PUT", target, {{std::move(condition), std::move(value)}}, std::move(body)}, 2s);
    };
    ASSERT_TRUE(put_object("If-None-Match", "*", "not a commit"));
    EXPECT_TRUE(wait_until([&] { return any_log_contains(mesh, "SW2009"); }));
    const auto refused = mesh.apply(0, config_with_deadline(3000));
    ASSERT_TRUE(refused);
    EXPECT_EQ(refused->outcome, "refused");
    for (const auto index : all_nodes) {
        EXPECT_EQ(version_used_by(mesh, index), config_version{1});
    }
    const auto object = mesh.client().send(mesh.platform_endpoint(), {"GET", target, {}, {}}, 2s);
    ASSERT_TRUE(object);
    commit replacement;
    replacement.version = {2};
    replacement.reason = "takes the place of a faulty commit";
    const std::string etag{find_header(object->headers, "ETag")};
    ASSERT_TRUE(put_object("If-Match", etag, encode_json(replacement)));
    EXPECT_TRUE(converge_on(mesh, all_nodes, {2}));
}

// Pauses the relay of a failure domain beyond its lease: the other node must take over, and there
// must be one relay once the paused node resumes.
TEST(proof_lease, paused_relay_is_replaced_and_steps_down_when_resumed)
{
    local_mesh mesh{26, five_members()};
    apply_initial_config(mesh);
    ASSERT_TRUE(wait_until([&] { return find_relays(mesh, last_domain).size() == 1; }));
    const auto paused = find_relays(mesh, last_domain).front();
    const std::array<std::size_t, 1> other{paused == 3 ? 4U : 3U};
    mesh.node(paused).signal(SIGSTOP);
    EXPECT_TRUE(wait_until([&] { return find_relays(mesh, other).size() == 1; }));
    const auto report = mesh.apply(0, config_with_deadline(2000));
    ASSERT_TRUE(report && report->outcome == "accepted");
    EXPECT_TRUE(converge_on(mesh, other, report->version));
    mesh.node(paused).signal(SIGCONT);
    EXPECT_TRUE(converge_on(mesh, all_nodes, report->version));
    EXPECT_EQ(find_relays(mesh, last_domain).size(), 1U);
}

} // namespace savorywheel::test
