#include <gtest/gtest.h>
#include <platform/proxied_mesh.hpp>
#include <support/wait_until.hpp>

namespace savorywheel::platform::test {

namespace {

using namespace std::chrono_literals;
using savorywheel::test::wait_until;

constexpr int too_many_requests = 429;
constexpr int unavailable = 503;

} // namespace

// The parts of the quotas must work together in the processes that are deployed. Without a backend
// server each request gets 503 and returns its token; with a limit below one in the time of the
// test, the bucket is empty and the answer is 429.
TEST(quota_nodes, coordinators_are_found_and_decide_for_other_nodes)
{
    proxied_mesh mesh{3, 153};
    EXPECT_EQ(mesh.count_events("SW7001"), 0U);
    mesh.add_tenant(7, 0.001, 0);
    for (int node = 0; node < mesh.node_count(); ++node) {
        EXPECT_TRUE(wait_until(
            [&] { return mesh.status_with_key(node, "/first/x") == too_many_requests; }, 15s))
            << node;
    }
    EXPECT_GE(mesh.count_events("SW7001"), 2U);
    mesh.add_tenant(9, 100, 100);
    for (int node = 0; node < mesh.node_count(); ++node) {
        EXPECT_TRUE(
            wait_until([&] { return mesh.status_with_key(node, "/first/x") == unavailable; }, 15s))
            << node;
    }
}

} // namespace savorywheel::platform::test
