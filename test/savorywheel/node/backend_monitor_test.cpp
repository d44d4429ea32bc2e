#include <savorywheel/node/backend_monitor.hpp>

#include <gtest/gtest.h>
#include <support/manual_clock.hpp>
#include <support/recording_event_log.hpp>

namespace savorywheel::test {

namespace {

backend_announcement make(const std::string& identity, std::uint64_t started_at,
                          std::uint64_t sequence, server_state state = server_state::serving)
{
    backend_announcement result;
    result.backend = {
        service_name{"bookdesk"}, version_name{"v1"}, {"10.0.0.1", 80}, state, 12, identity};
    result.started_at = started_at;
    result.sequence = sequence;
    return result;
}

struct monitor_fixture {
    manual_clock time;
    control_loop loop{time};
    recording_event_log log;
    std::optional<backend_server> latest;
    backend_monitor subject{{loop, log, std::chrono::milliseconds{6000}},
                            [this](const auto& backend) { latest = backend; }};
};

} // namespace

TEST(backend_monitor, ignores_an_announcement_with_a_lower_sequence)
{
    monitor_fixture node;
    EXPECT_TRUE(node.subject.accept(make("i-1", 100, 1)));
    EXPECT_TRUE(node.subject.accept(make("i-1", 100, 3, server_state::draining)));
    EXPECT_FALSE(node.subject.accept(make("i-1", 100, 2)));
    EXPECT_EQ(node.latest->state, server_state::draining);
}

TEST(backend_monitor, ignores_an_announcement_of_an_earlier_start)
{
    monitor_fixture node;
    EXPECT_TRUE(node.subject.accept(make("i-2", 200, 1)));
    EXPECT_FALSE(node.subject.accept(make("i-1", 100, 9)));
    EXPECT_EQ(node.latest->identity, "i-2");
    EXPECT_TRUE(node.subject.accept(make("i-2", 300, 1)));
}

TEST(backend_monitor, ignores_announcements_after_deregistration_until_a_restart)
{
    monitor_fixture node;
    EXPECT_TRUE(node.subject.accept(make("i-1", 100, 1)));
    node.subject.deregister("i-9");
    EXPECT_TRUE(node.latest.has_value());
    node.subject.deregister("i-1");
    EXPECT_FALSE(node.latest.has_value());
    EXPECT_FALSE(node.subject.accept(make("i-1", 100, 2)));
    EXPECT_FALSE(node.latest.has_value());
    EXPECT_TRUE(node.subject.accept(make("i-1", 150, 1)));
    EXPECT_TRUE(node.latest.has_value());
}

TEST(backend_monitor, ignores_a_late_announcement_if_the_deregistration_came_first)
{
    monitor_fixture node;
    const auto now =
        static_cast<std::uint64_t>(node.time.calendar_now().time_since_epoch().count());
    node.subject.deregister("i-1");
    EXPECT_FALSE(node.subject.accept(make("i-1", now - 5000, 7)));
    EXPECT_FALSE(node.latest.has_value());
    EXPECT_TRUE(node.subject.accept(make("i-1", now + 1, 1)));
}

TEST(backend_monitor, removes_the_backend_server_after_the_announcement_timeout)
{
    monitor_fixture node;
    node.subject.start();
    EXPECT_TRUE(node.subject.accept(make("i-1", 100, 1)));
    node.time.advance(std::chrono::milliseconds{5900});
    node.loop.run_pending();
    EXPECT_TRUE(node.latest.has_value());
    node.time.advance(std::chrono::milliseconds{700});
    node.loop.run_pending();
    EXPECT_FALSE(node.latest.has_value());
    EXPECT_TRUE(node.subject.accept(make("i-1", 100, 2)));
    EXPECT_TRUE(node.latest.has_value());
}

} // namespace savorywheel::test
