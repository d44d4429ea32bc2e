#include <savorywheel/traffic/silence_watch.hpp>

#include <gtest/gtest.h>
#include <support/manual_clock.hpp>

#include <vector>

namespace savorywheel::test {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds service_time{100};

} // namespace

TEST(silence_watch, finds_a_backend_server_that_answers_none_of_several_calls)
{
    manual_clock time;
    time.advance(std::chrono::seconds{10});
    silence_watch subject;
    subject.answered(time.now());
    const std::vector<monotonic_time> started(3, time.now());
    time.advance(milliseconds{400});
    EXPECT_FALSE(subject.look(started, service_time, time.now()));
    time.advance(milliseconds{1});
    EXPECT_TRUE(subject.look(started, service_time, time.now()));
}

TEST(silence_watch, a_slow_backend_server_that_answers_is_not_silent)
{
    manual_clock time;
    time.advance(std::chrono::seconds{10});
    silence_watch subject;
    const std::vector<monotonic_time> started(8, time.now());
    time.advance(milliseconds{900});
    subject.answered(time.now());
    time.advance(milliseconds{50});
    EXPECT_FALSE(subject.look(started, service_time, time.now()));
}

TEST(silence_watch, one_long_call_is_no_silence)
{
    manual_clock time;
    time.advance(std::chrono::seconds{10});
    silence_watch subject;
    const std::vector<monotonic_time> started(2, time.now());
    time.advance(std::chrono::seconds{2});
    EXPECT_FALSE(subject.look(started, service_time, time.now()));
}

TEST(silence_watch, lets_one_call_through_each_period_until_an_answer_comes)
{
    manual_clock time;
    time.advance(std::chrono::seconds{10});
    silence_watch subject;
    const std::vector<monotonic_time> started(3, time.now());
    time.advance(std::chrono::seconds{1});
    ASSERT_TRUE(subject.look(started, service_time, time.now()));
    EXPECT_FALSE(subject.take_probe(time.now()));
    time.advance(milliseconds{500});
    EXPECT_TRUE(subject.take_probe(time.now()));
    EXPECT_FALSE(subject.take_probe(time.now()));
    subject.answered(time.now());
    EXPECT_FALSE(subject.silent());
}

} // namespace savorywheel::test
