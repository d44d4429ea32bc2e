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

TEST(backend_monitor, an_announcement_that_was_overtaken_changes_nothing)
{
    monitor_fixture node;
    EXPECT_TRUE(node.subject.take(make("i-1", 100, 1)));
    EXPECT_TRUE(node.subject.take(make("i-1", 100, 3, server_state::draining)));
    EXPECT_FALSE(node.subject.take(make("i-1", 100, 2)));
    EXPECT_EQ(node.latest->state, server_state::draining);
}

TEST(backend_monitor, an_earlier_start_is_not_taken_for_the_one_that_runs)
{
    monitor_fixture node;
    EXPECT_TRUE(node.subject.take(make("i-2", 200, 1)));
    EXPECT_FALSE(node.subject.take(make("i-1", 100, 9)));
    EXPECT_EQ(node.latest->identity, "i-2");
    EXPECT_TRUE(node.subject.take(make("i-2", 300, 1)));
}

TEST(backend_monitor, a_backend_server_that_left_stays_gone_until_it_starts_again)
{
    monitor_fixture node;
    EXPECT_TRUE(node.subject.take(make("i-1", 100, 1)));
    node.subject.withdraw("i-9");
    EXPECT_TRUE(node.latest.has_value());
    node.subject.withdraw("i-1");
    EXPECT_FALSE(node.latest.has_value());
    EXPECT_FALSE(node.subject.take(make("i-1", 100, 2)));
    EXPECT_FALSE(node.latest.has_value());
    EXPECT_TRUE(node.subject.take(make("i-1", 150, 1)));
    EXPECT_TRUE(node.latest.has_value());
}

TEST(backend_monitor, a_node_that_starts_between_leaving_and_a_late_announcement_ignores_the_latter)
{
    monitor_fixture node;
    const auto now =
        static_cast<std::uint64_t>(node.time.calendar_now().time_since_epoch().count());
    node.subject.withdraw("i-1");
    EXPECT_FALSE(node.subject.take(make("i-1", now - 5000, 7)));
    EXPECT_FALSE(node.latest.has_value());
    EXPECT_TRUE(node.subject.take(make("i-1", now + 1, 1)));
}

TEST(backend_monitor, silence_counts_as_gone_only_after_the_whole_lifetime)
{
    monitor_fixture node;
    node.subject.start();
    EXPECT_TRUE(node.subject.take(make("i-1", 100, 1)));
    node.time.advance(std::chrono::milliseconds{5900});
    node.loop.run_pending();
    EXPECT_TRUE(node.latest.has_value());
    node.time.advance(std::chrono::milliseconds{700});
    node.loop.run_pending();
    EXPECT_FALSE(node.latest.has_value());
    EXPECT_TRUE(node.subject.take(make("i-1", 100, 2)));
    EXPECT_TRUE(node.latest.has_value());
}

} // namespace savorywheel::test
