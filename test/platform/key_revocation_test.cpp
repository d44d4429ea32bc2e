#include <fmt/format.h>
#include <gtest/gtest.h>
#include <platform/proxied_mesh.hpp>
#include <support/wait_until.hpp>

#include <thread>

namespace savorywheel::platform::test {

namespace {

using namespace std::chrono_literals;
using savorywheel::test::wait_until;

/** Short, so that the test is; the nodes' settings give it as the platform's template does. */
constexpr auto key_limit = 2000ms;
constexpr const char* key_settings = "key_confirmation_limit_ms: \"2000ms\"\n";

/** A response to a request that no backend server is there to run. */
enum class answer : std::uint8_t { accepted, rejected, unconfirmed, other };

answer ask(const proxied_mesh& mesh, int node, const std::string& path, const std::string& key)
{
    const auto [status, body] = mesh.request_with_key(node, path, key);
    if (status == 401) {
        return answer::rejected;
    }
    if (status != 503) {
        return answer::other;
    }
    return body.find("cannot tell") == std::string::npos ? answer::accepted : answer::unconfirmed;
}

/** @return Number of nodes with the response. */
int count(const proxied_mesh& mesh, answer expected, const std::string& path,
          const std::string& key)
{
    int result = 0;
    for (int node = 0; node < mesh.node_count(); ++node) {
        result += ask(mesh, node, path, key) == expected ? 1 : 0;
    }
    return result;
}

} // namespace

// A node accepted a removed key without an end while it did not reach the store.
TEST(key_revocation, removed_key_is_refused_and_without_the_store_every_key)
{
    constexpr int nodes = 6;
    proxied_mesh mesh{nodes, 189, key_settings};
    mesh.set_tenant(7, "key-1");
    ASSERT_TRUE(wait_until(
        [&] { return count(mesh, answer::rejected, "/first/x", "key-2") == nodes; }, 10s));
    EXPECT_EQ(count(mesh, answer::accepted, "/first/x", "key-1"), nodes);
    EXPECT_EQ(count(mesh, answer::accepted, "/open/x", "key-2"), nodes);
    for (int i = 0; i < 60; ++i) {
        EXPECT_EQ(count(mesh, answer::accepted, "/first/x", "key-1"), nodes) << i;
        std::this_thread::sleep_for(50ms);
    }
    mesh.set_tenant(8, "key-2");
    std::this_thread::sleep_for(key_limit);
    EXPECT_EQ(count(mesh, answer::accepted, "/first/x", "key-1"), 0);
    EXPECT_TRUE(wait_until(
        [&] { return count(mesh, answer::accepted, "/first/x", "key-2") == nodes; }, 10s));
    mesh.set_store_available(false);
    std::this_thread::sleep_for(key_limit);
    EXPECT_EQ(count(mesh, answer::unconfirmed, "/first/x", "key-2"), nodes);
    EXPECT_EQ(count(mesh, answer::accepted, "/open/x", "key-2"), nodes);
    mesh.set_store_available(true);
    EXPECT_TRUE(wait_until(
        [&] { return count(mesh, answer::accepted, "/first/x", "key-2") == nodes; }, 10s));
}

} // namespace savorywheel::platform::test
