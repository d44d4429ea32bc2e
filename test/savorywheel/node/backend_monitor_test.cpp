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
    result.domain = failure_domain{"east-1"};
    result.started_at = started_at;
    result.sequence = sequence;
    return result;
}

struct monitor_fixture {
    manual_clock time;
    control_loop loop{time};
    recording_event_log log;
    std::optional<backend_server> latest;
    backend_monitor subject{{loop,
                             log,
                             std::chrono::milliseconds{6000},
                             {service_name{"bookdesk"}, failure_domain{"east-1"}, "10.0.0.1"}},
                            [this](const auto& backend) { latest = backend; }};

    /** Returns true if the announcement takes effect. */
    bool accept(const backend_announcement& announcement)
    {
        const auto applied = subject.accept(announcement);
        return applied && *applied;
    }

    void advance(std::chrono::milliseconds amount)
    {
        time.advance(amount);
        loop.run_pending();
    }
};

} // namespace

TEST(backend_monitor, ignores_an_announcement_with_a_lower_sequence)
{
    monitor_fixture node;
    EXPECT_TRUE(node.accept(make("i-1", 100, 1)));
    EXPECT_TRUE(node.accept(make("i-1", 100, 3, server_state::draining)));
    EXPECT_FALSE(node.accept(make("i-1", 100, 2)));
    EXPECT_EQ(node.latest->state, server_state::draining);
}

TEST(backend_monitor, ignores_an_announcement_of_an_earlier_start)
{
    monitor_fixture node;
    EXPECT_TRUE(node.accept(make("i-2", 200, 1)));
    EXPECT_FALSE(node.accept(make("i-1", 100, 9)));
    EXPECT_EQ(node.latest->identity, "i-2");
    EXPECT_TRUE(node.accept(make("i-2", 300, 1)));
}

TEST(backend_monitor, ignores_announcements_after_deregistration_until_a_restart)
{
    monitor_fixture node;
    EXPECT_TRUE(node.accept(make("i-1", 100, 1)));
    node.subject.deregister("i-9");
    EXPECT_TRUE(node.latest.has_value());
    node.subject.deregister("i-1");
    EXPECT_FALSE(node.latest.has_value());
    EXPECT_FALSE(node.accept(make("i-1", 100, 2)));
    EXPECT_FALSE(node.latest.has_value());
    EXPECT_TRUE(node.accept(make("i-1", 150, 1)));
    EXPECT_TRUE(node.latest.has_value());
}

TEST(backend_monitor, ignores_a_late_announcement_if_the_deregistration_came_first)
{
    monitor_fixture node;
    const auto now =
        static_cast<std::uint64_t>(node.time.calendar_now().time_since_epoch().count());
    node.subject.deregister("i-1");
    EXPECT_FALSE(node.accept(make("i-1", now - 5000, 7)));
    EXPECT_FALSE(node.latest.has_value());
    EXPECT_TRUE(node.accept(make("i-1", now + 1, 1)));
}

TEST(backend_monitor, removes_the_backend_server_after_the_announcement_timeout)
{
    monitor_fixture node;
    node.subject.start();
    EXPECT_TRUE(node.accept(make("i-1", 100, 1)));
    node.time.advance(std::chrono::milliseconds{5900});
    node.loop.run_pending();
    EXPECT_TRUE(node.latest.has_value());
    node.time.advance(std::chrono::milliseconds{700});
    node.loop.run_pending();
    EXPECT_FALSE(node.latest.has_value());
    EXPECT_TRUE(node.accept(make("i-1", 100, 2)));
    EXPECT_TRUE(node.latest.has_value());
}

// Review case 4: an announcement of another writer displaced the backend server for good.
TEST(backend_monitor, announcement_that_contradicts_the_settings_displaces_no_backend_server)
{
    monitor_fixture node;
    EXPECT_TRUE(node.accept(make("i-1", 100, 1)));
    auto other_service = make("i-2", 200, 1);
    other_service.backend.service = service_name{"ghost"};
    auto other_domain = make("i-3", 300, 1);
    other_domain.domain = failure_domain{"west-1"};
    auto other_address = make("i-4", 400, 1);
    other_address.backend.endpoint.address = "10.0.0.2";
    for (const auto& foreign : {other_service, other_domain, other_address}) {
        const auto applied = node.subject.accept(foreign);
        ASSERT_FALSE(applied) << foreign.backend.identity;
        EXPECT_EQ(applied.reason().code, failure_code::invalid_argument);
    }
    EXPECT_EQ(node.latest->identity, "i-1");
    EXPECT_TRUE(node.accept(make("i-1", 100, 2)));
}

// Review case 4: a start time in the future made all later announcements stale.
TEST(backend_monitor, running_server_is_used_again_after_a_silent_one_with_a_later_start)
{
    monitor_fixture node;
    node.subject.start();
    EXPECT_TRUE(node.accept(make("i-1", 100, 1)));
    EXPECT_TRUE(node.accept(make("i-9", 9'000'000, 1)));
    std::uint64_t sequence = 1;
    for (int i = 0; i < 3 && node.latest->identity != "i-1"; ++i) {
        node.advance(std::chrono::milliseconds{1500});
        static_cast<void>(node.subject.accept(make("i-1", 100, ++sequence)));
    }
    EXPECT_EQ(node.latest->identity, "i-1");
}

// Review case 4: a sequence number close to the maximum made all later announcements stale.
TEST(backend_monitor, running_server_is_used_again_after_an_announcement_with_a_huge_sequence)
{
    monitor_fixture node;
    EXPECT_TRUE(node.accept(make("i-1", 100, 1)));
    EXPECT_TRUE(node.accept(make("i-1", 100, 9'000'000'000)));
    EXPECT_FALSE(node.accept(make("i-1", 100, 2)));
    node.advance(std::chrono::milliseconds{1500});
    EXPECT_FALSE(node.accept(make("i-1", 100, 3)));
    node.advance(std::chrono::milliseconds{1500});
    EXPECT_TRUE(node.accept(make("i-1", 100, 4, server_state::warming)));
    EXPECT_EQ(node.latest->state, server_state::warming);
}

// A restarted server whose clock had stepped back was ignored until its old start time.
TEST(backend_monitor, server_that_restarts_with_an_earlier_start_time_is_used_again)
{
    monitor_fixture node;
    node.subject.start();
    EXPECT_TRUE(node.accept(make("i-1", 9000, 7)));
    std::uint64_t sequence = 0;
    for (int i = 0; i < 4 && !node.accept(make("i-1", 500, ++sequence)); ++i) {
        node.advance(std::chrono::milliseconds{1500});
    }
    ASSERT_TRUE(node.latest.has_value());
    EXPECT_LE(sequence, 3U);
    EXPECT_FALSE(node.accept(make("i-1", 9000, 6)));
}

TEST(backend_monitor, late_announcements_of_an_ended_server_do_not_displace_a_running_one)
{
    monitor_fixture node;
    EXPECT_TRUE(node.accept(make("i-2", 200, 1)));
    for (std::uint64_t i = 2; i < 20; ++i) {
        node.advance(std::chrono::milliseconds{1500});
        EXPECT_FALSE(node.accept(make("i-1", 100, i)));
        EXPECT_TRUE(node.accept(make("i-2", 200, i)));
    }
    EXPECT_EQ(node.latest->identity, "i-2");
}

TEST(backend_monitor, late_announcements_that_arrive_together_do_not_replace_a_server_that_has_left)
{
    monitor_fixture node;
    EXPECT_TRUE(node.accept(make("i-2", 200, 1)));
    node.subject.deregister("i-2");
    for (std::uint64_t i = 1; i < 5; ++i) {
        EXPECT_FALSE(node.accept(make("i-1", 100, i)));
    }
    EXPECT_FALSE(node.latest.has_value());
}

// The node sent requests to a server after it had acknowledged that the server drains.
TEST(backend_monitor, draining_server_is_not_used_again)
{
    monitor_fixture node;
    EXPECT_TRUE(node.accept(make("i-1", 100, 3, server_state::draining)));
    for (std::uint64_t i = 1; i < 8; ++i) {
        node.advance(std::chrono::milliseconds{1500});
        EXPECT_FALSE(node.accept(make("i-1", 100, i)));
    }
    EXPECT_TRUE(node.accept(make("i-1", 100, 9, server_state::draining)));
    EXPECT_EQ(node.latest->state, server_state::draining);
}

// Review case 5: a late announcement of a server that had left was used after a restart of the
// node.
TEST(backend_monitor, late_announcement_after_a_restart_is_not_used_if_the_server_had_left)
{
    monitor_fixture before;
    EXPECT_TRUE(before.accept(make("i-1", 100, 8)));
    before.subject.deregister("i-1");
    const auto departures = before.subject.departures();
    const std::vector recorded(departures.begin(), departures.end());
    monitor_fixture after;
    after.subject.hold_announcements();
    EXPECT_TRUE(after.subject.accept(make("i-1", 100, 7)));
    EXPECT_FALSE(after.latest.has_value());
    after.subject.restore(recorded);
    EXPECT_FALSE(after.latest.has_value());
    EXPECT_FALSE(after.accept(make("i-1", 100, 9)));
    EXPECT_TRUE(after.accept(make("i-1", 300, 1)));
}

// Review case 5: the same for a server that had announced that it drains.
TEST(backend_monitor, late_announcement_after_a_restart_is_not_used_if_the_server_drained)
{
    monitor_fixture before;
    EXPECT_TRUE(before.accept(make("i-1", 100, 8, server_state::draining)));
    const auto departures = before.subject.departures();
    const std::vector recorded(departures.begin(), departures.end());
    monitor_fixture after;
    after.subject.restore(recorded);
    EXPECT_FALSE(after.accept(make("i-1", 100, 7)));
    EXPECT_FALSE(after.latest.has_value());
}

TEST(backend_monitor, announcement_held_back_is_used_once_the_departures_are_known)
{
    monitor_fixture node;
    node.subject.hold_announcements();
    EXPECT_TRUE(node.subject.accept(make("i-1", 100, 7)));
    EXPECT_FALSE(node.latest.has_value());
    node.subject.restore({});
    ASSERT_TRUE(node.latest.has_value());
    EXPECT_EQ(node.latest->identity, "i-1");
}

TEST(backend_monitor, server_is_used_after_its_second_announcement_while_departures_are_unknown)
{
    monitor_fixture node;
    node.subject.hold_announcements();
    EXPECT_TRUE(node.subject.accept(make("i-1", 100, 7)));
    node.advance(std::chrono::milliseconds{1000});
    node.subject.release_unconfirmed();
    EXPECT_FALSE(node.latest.has_value());
    node.advance(std::chrono::milliseconds{500});
    EXPECT_TRUE(node.accept(make("i-1", 100, 8)));
    const std::vector<backend_departure> departures{{"i-1", 100, true}};
    node.subject.restore(departures);
    EXPECT_FALSE(node.latest.has_value());
}

} // namespace savorywheel::test
