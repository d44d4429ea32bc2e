#include <savorywheel/node/stop_schedule.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace savorywheel::test {

using std::chrono::milliseconds;

// Review case 3: a fixed limit interrupted requests long before the end of the grace time.
TEST(stop_schedule, requests_are_not_interrupted_before_the_last_sixth_of_the_grace_time)
{
    node_settings settings;
    settings.stop_notice = milliseconds{2500};
    for (const auto grace : {milliseconds{1000}, milliseconds{6000}, milliseconds{60'000}}) {
        settings.stop_grace = grace;
        const auto schedule = make_stop_schedule(settings);
        EXPECT_GE(schedule.interruption, grace * 5 / 6) << grace.count();
        EXPECT_LE(schedule.notice, settings.stop_notice) << grace.count();
    }
}

// A grace time below the sum of notice and limit ended the process before it had responded.
RC_GTEST_PROP(stop_schedule, all_stages_are_within_the_grace_time, ())
{
    node_settings settings;
    settings.stop_notice = milliseconds{*rc::gen::inRange(0, 20'000)};
    const auto grace = milliseconds{*rc::gen::inRange(200, 100'000)};
    settings.stop_grace = grace;
    const auto schedule = make_stop_schedule(settings);
    RC_ASSERT(schedule.notice < schedule.interruption);
    RC_ASSERT(schedule.interruption < schedule.close);
    RC_ASSERT(schedule.close < grace);
}

TEST(stop_schedule, notice_and_limit_apply_without_a_grace_time)
{
    node_settings settings;
    settings.stop_notice = milliseconds{300};
    settings.stop_limit = milliseconds{10'000};
    const auto schedule = make_stop_schedule(settings);
    EXPECT_EQ(schedule.notice, milliseconds{300});
    EXPECT_EQ(schedule.interruption, milliseconds{10'300});
    EXPECT_GT(schedule.close, schedule.interruption);
}

} // namespace savorywheel::test
