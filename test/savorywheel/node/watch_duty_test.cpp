#include <savorywheel/core/seeded_random.hpp>
#include <savorywheel/node/watch_duty.hpp>

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <support/manual_clock.hpp>
#include <support/recording_event_log.hpp>

#include <vector>

namespace savorywheel::test {

namespace {

using namespace std::chrono_literals;

struct null_listener final : membership_listener {
    void on_member_changed(const member_update& /*update*/) override {}
    void on_head_received(const network_endpoint& /*peer*/,
                          const configuration_head& /*head*/) override
    {
    }
};

member_record make_record(std::size_t index)
{
    member_record record;
    record.id = node_id{fmt::format("n{:02}", index)};
    record.region = region_name{"region"};
    record.peer = {"10.0.0.1", static_cast<std::uint16_t>(7000 + index)};
    record.incarnation = 1;
    return record;
}

class watch_duty_test : public testing::Test {
protected:
    void set_others(std::size_t count, member_status status)
    {
        membership_sync_message others;
        for (std::size_t i = 1; i <= count; ++i) {
            others.members.push_back({make_record(i), status});
        }
        static_cast<void>(members_.finish_sync(others));
        duty_.on_members_changed();
    }

    void advance_time(duration length)
    {
        time_.advance(length);
        loop_.run_pending();
    }

    [[nodiscard]] std::vector<watch_role> roles() const
    {
        std::vector<watch_role> result;
        for (const auto& choice : choices_) {
            result.push_back(choice.role);
        }
        return result;
    }

    manual_clock time_;
    control_loop loop_{time_};
    seeded_random random_{1};
    recording_event_log log_;
    null_listener listener_;
    swim_agent members_{make_record(0),
                        {},
                        {},
                        {time_, loop_.timers(), random_, listener_,
                         [](const auto& /*peer*/, const auto& /*message*/) {},
                         [](const auto& /*peer*/, const auto& /*request*/) {}}};
    std::vector<watcher_choice> choices_;
    watch_duty duty_{{loop_, log_, members_,
                      [this](const watcher_choice& choice) { choices_.push_back(choice); }}};
};

} // namespace

// 83 nodes that start together know few members at first, and each would have watched.
TEST_F(watch_duty_test, decides_after_the_members_have_become_known)
{
    duty_.start();
    advance_time(100ms);
    set_others(5, member_status::alive);
    advance_time(1s);
    EXPECT_TRUE(choices_.empty());
    set_others(40, member_status::alive);
    advance_time(1s);
    ASSERT_EQ(choices_.size(), 1U);
    EXPECT_NE(choices_.front().role, watch_role::everyone);
}

TEST_F(watch_duty_test, follows_the_members_and_tells_each_change_once)
{
    duty_.start();
    advance_time(2s);
    set_others(5, member_status::alive);
    advance_time(2s);
    set_others(5, member_status::alive);
    advance_time(2s);
    EXPECT_EQ(roles(), (std::vector{watch_role::alone, watch_role::everyone}));
    EXPECT_EQ(log_.count(event_id::documents_watched), 1U);
    set_others(5, member_status::dead);
    advance_time(2s);
    EXPECT_EQ(roles().back(), watch_role::alone);
    EXPECT_EQ(log_.count(event_id::documents_not_watched), 1U);
    duty_.stop();
    set_others(5, member_status::alive);
    advance_time(2s);
    EXPECT_EQ(choices_.size(), 3U);
}

} // namespace savorywheel::test
