#include <gtest/gtest.h>
#include <platform/proxied_mesh.hpp>
#include <support/wait_until.hpp>

#include <thread>

namespace savorywheel::platform::test {

namespace {

using namespace std::chrono_literals;
using savorywheel::test::wait_until;

/** Time after which a change is in force, the entries are written again, and heads are known. */
constexpr auto settling_time = 5000ms;
constexpr int node_count = 3;

bool all_know(const proxied_mesh& mesh, const std::string& path)
{
    return wait_until([&] { return mesh.count_refusals(path) == 0; }, 10s);
}

} // namespace

/** Guards against nodes that return to the backup's configuration, or miss changes after it. */
TEST(restored_store, mesh_keeps_the_newer_configuration_and_follows_later_changes)
{
    proxied_mesh mesh{node_count, 181};
    mesh.add_route(7, "/old/");
    ASSERT_TRUE(all_know(mesh, "/old/x"));
    mesh.back_up_store();
    mesh.add_route(9, "/new/");
    ASSERT_TRUE(all_know(mesh, "/new/x"));
    mesh.restore_store();
    const auto end = std::chrono::steady_clock::now() + settling_time;
    while (std::chrono::steady_clock::now() < end) {
        EXPECT_EQ(mesh.count_refusals("/new/x"), 0);
        std::this_thread::sleep_for(50ms);
    }
    // A node that starts reads the older configuration, and learns the newer one from its peers.
    mesh.kill_node(2);
    mesh.restart_node(2);
    EXPECT_TRUE(all_know(mesh, "/new/x"));
    mesh.add_route(9, "/new/");
    mesh.add_route(11, "/later/");
    EXPECT_TRUE(all_know(mesh, "/later/x"));
}

/** Guards against nodes that a restored store has lost, so that nobody finds them. */
TEST(restored_store, nodes_write_their_entries_again)
{
    proxied_mesh mesh{node_count, 182};
    // Without a copy, the store returns to its empty state.
    mesh.restore_store();
    mesh.add_route(7, "/new/");
    for (int node = 0; node < node_count; ++node) {
        EXPECT_TRUE(wait_until([&] { return mesh.has_entry(node); }, 10s)) << node;
    }
    EXPECT_TRUE(all_know(mesh, "/new/x"));
}

} // namespace savorywheel::platform::test
