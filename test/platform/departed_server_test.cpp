#include <fmt/format.h>
#include <gtest/gtest.h>
#include <platform/proxied_mesh.hpp>
#include <support/wait_until.hpp>

#include <thread>

namespace savorywheel::platform::test {

namespace {

using namespace std::chrono_literals;
using savorywheel::test::wait_until;

constexpr auto recovery_limit = 15s;
/** The members know each other, and a restarted node has read the store. */
constexpr auto settling_time = 3000ms;
constexpr int node_count = 7;

/**
 * Lets the server of node 0 leave while the store is down, kills the first nodes before the store
 * is back, and starts node 0 again; then a late announcement arrives. Returns true if it takes
 * effect.
 */
bool is_used_after_a_kill(proxied_mesh& mesh, int killed)
{
    std::this_thread::sleep_for(settling_time);
    EXPECT_EQ(mesh.announce_server(0, "i-1", "ready", 1), 200);
    EXPECT_TRUE(wait_until([&] { return mesh.has_server(0); }, recovery_limit));
    mesh.set_store_available(false);
    EXPECT_TRUE(
        wait_until([&] { return mesh.deregister_server(0, "i-1") == 200; }, recovery_limit));
    for (int node = 0; node < killed; ++node) {
        mesh.kill_node(node);
    }
    mesh.set_store_available(true);
    mesh.restart_node(0);
    EXPECT_TRUE(wait_until([&] { return mesh.status_of(0, "/none/x") == 404; }, recovery_limit));
    std::this_thread::sleep_for(settling_time);
    static_cast<void>(mesh.announce_server(0, "i-1", "ready", 2));
    std::this_thread::sleep_for(settling_time);
    return mesh.has_server(0);
}

} // namespace

// Guards against review case 10: a departure that was acknowledged during an outage of the store
// was forgotten by a killed node, so that a late announcement brought the server back into use.
TEST(departed_server, departure_acknowledged_without_the_store_outlasts_a_kill_of_its_node)
{
    proxied_mesh mesh{node_count, 158};
    EXPECT_FALSE(is_used_after_a_kill(mesh, 1));
}

TEST(departed_server, departure_acknowledged_without_the_store_outlasts_a_kill_of_three_nodes)
{
    proxied_mesh mesh{node_count, 160};
    EXPECT_FALSE(is_used_after_a_kill(mesh, 3));
}

// Guards against an acknowledgement of a departure that only the memory of the node holds.
TEST(departed_server, departure_of_a_sole_node_is_acknowledged_only_by_the_store)
{
    constexpr int node = 0;
    proxied_mesh mesh{1, 159};
    ASSERT_EQ(mesh.announce_server(node, "i-1", "ready", 1), 200);
    ASSERT_TRUE(wait_until([&] { return mesh.has_server(node); }, recovery_limit));
    mesh.set_store_available(false);
    for (std::uint64_t attempt = 0; attempt < 2; ++attempt) {
        EXPECT_EQ(mesh.announce_server(node, "i-1", "draining", 2 + attempt), 503) << attempt;
        EXPECT_EQ(mesh.deregister_server(node, "i-1"), 503) << attempt;
    }
    EXPECT_FALSE(mesh.has_server(node));
    mesh.set_store_available(true);
    EXPECT_TRUE(
        wait_until([&] { return mesh.deregister_server(node, "i-1") == 200; }, recovery_limit));
}

} // namespace savorywheel::platform::test
