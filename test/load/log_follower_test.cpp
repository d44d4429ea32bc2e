#include <gtest/gtest.h>
#include <load/log_follower.hpp>
#include <load/metric_snapshot.hpp>

#include <sstream>

namespace savorywheel::test {

TEST(log_follower, reports_when_a_version_came_into_force)
{
    using namespace std::chrono;
    std::stringstream log;
    log << "2026-12-04 11:22:33,456 INFO [node-1] SW2001 configuration in force version 3\n"
        << "2026-12-04 11:22:34,000 INFO [node-1] SW3001 member alive version 9\n"
        << "2026-12-04 11:22:35,007 INFO [node-1] SW2001 configuration in fo";
    load::log_follower follower{log};
    follower.read_new();
    const calendar_time day{sys_days{year{2026} / 12 / 4}};
    EXPECT_EQ(follower.in_force_at({2}), day + 11h + 22min + 33s + 456ms);
    EXPECT_FALSE(follower.in_force_at({4}));
    log.clear();
    log << "rce version 5\n";
    follower.read_new();
    EXPECT_EQ(follower.in_force_at({4}), day + 11h + 22min + 35s + 7ms);
}

TEST(metric_snapshot, reads_a_value_per_line)
{
    const auto snapshot = load::parse_metrics("savorywheel_calls 7\nsavorywheel_call_p50_ms 0.25\n",
                                              monotonic_time{});
    EXPECT_EQ(snapshot.value("calls"), 7.0);
    EXPECT_EQ(snapshot.value("call_p50_ms"), 0.25);
    EXPECT_EQ(snapshot.value("absent"), 0.0);
}

} // namespace savorywheel::test
