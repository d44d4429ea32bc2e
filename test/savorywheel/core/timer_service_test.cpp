#include <savorywheel/core/timer_service.hpp>

#include <gtest/gtest.h>
#include <support/manual_clock.hpp>

namespace savorywheel::test {

using namespace std::chrono_literals;

TEST(timer_service, calls_a_periodic_action_until_its_subscription_ends)
{
    manual_clock time;
    timer_service timers{time};
    int calls = 0;
    auto handle = timers.every(10ms, [&calls] { ++calls; });
    timers.run_due();
    EXPECT_EQ(calls, 0);
    time.advance(10ms);
    timers.run_due();
    time.advance(10ms);
    timers.run_due();
    EXPECT_EQ(calls, 2);
    handle.reset();
    time.advance(10ms);
    timers.run_due();
    EXPECT_EQ(calls, 2);
}

TEST(timer_service, an_action_may_end_its_own_subscription)
{
    manual_clock time;
    timer_service timers{time};
    int calls = 0;
    subscription handle;
    handle = timers.every(10ms, [&] {
        ++calls;
        handle.reset();
    });
    time.advance(30ms);
    timers.run_due();
    time.advance(30ms);
    timers.run_due();
    EXPECT_EQ(calls, 1);
}

} // namespace savorywheel::test
