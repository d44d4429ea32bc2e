#include <savorywheel/traffic/silence_watch.hpp>

#include <gtest/gtest.h>
#include <support/manual_clock.hpp>

#include <vector>

namespace savorywheel::test {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds service_time{100};

/** Detector at 10 s after the start, and calls that start at the current time. */
class silence_watch_test : public testing::Test {
protected:
    silence_watch_test() { time_.advance(std::chrono::seconds{10}); }

    [[nodiscard]] std::vector<monotonic_time> calls(std::size_t count) const
    {
        return std::vector<monotonic_time>(count, time_.now());
    }

    manual_clock time_;
    silence_watch subject_;
};

} // namespace

TEST_F(silence_watch_test, finds_a_backend_server_that_answers_none_of_several_calls)
{
    subject_.answered(time_.now());
    const auto started = calls(3);
    time_.advance(milliseconds{400});
    EXPECT_FALSE(subject_.look(started, service_time, time_.now()));
    time_.advance(milliseconds{1});
    EXPECT_TRUE(subject_.look(started, service_time, time_.now()));
}

TEST_F(silence_watch_test, a_slow_backend_server_that_answers_is_not_silent)
{
    const auto started = calls(8);
    time_.advance(milliseconds{900});
    subject_.answered(time_.now());
    time_.advance(milliseconds{50});
    EXPECT_FALSE(subject_.look(started, service_time, time_.now()));
}

TEST_F(silence_watch_test, one_long_call_is_no_silence)
{
    const auto started = calls(2);
    time_.advance(std::chrono::seconds{2});
    EXPECT_FALSE(subject_.look(started, service_time, time_.now()));
}

TEST_F(silence_watch_test, lets_one_call_through_each_period_until_an_answer_comes)
{
    const auto started = calls(3);
    time_.advance(std::chrono::seconds{1});
    ASSERT_TRUE(subject_.look(started, service_time, time_.now()));
    EXPECT_FALSE(subject_.take_probe(time_.now()));
    time_.advance(milliseconds{500});
    EXPECT_TRUE(subject_.take_probe(time_.now()));
    EXPECT_FALSE(subject_.take_probe(time_.now()));
    subject_.answered(time_.now());
    EXPECT_FALSE(subject_.silent());
}

} // namespace savorywheel::test
