#include <savorywheel/rollout/route_monitor.hpp>

#include <gtest/gtest.h>

namespace savorywheel::test {

namespace {

route_sample sample(std::uint64_t calls, std::uint64_t failures, const std::string& node)
{
    route_sample result;
    result.failures = {calls, failures};
    if (failures > 0) {
        result.failed_at.insert(node_id{node});
    }
    return result;
}

} // namespace

TEST(proof_route_monitor, failures_at_one_backend_server_do_not_count_against_the_version)
{
    constexpr std::size_t servers = 6;
    route_monitor monitor;
    for (int i = 0; i < 5; ++i) {
        monitor.observe(sample(900, 1, "old"), sample(100, 16, "lost"), true);
    }
    EXPECT_EQ(monitor.finding("/book", servers).score, 0.0);
    monitor.observe(sample(900, 1, "old"), sample(100, 16, "other"), true);
    EXPECT_GT(monitor.finding("/book", servers).score, 20.0);
    EXPECT_GT(monitor.finding("/book", 1).score, 20.0);
}

} // namespace savorywheel::test
