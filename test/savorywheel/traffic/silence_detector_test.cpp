#include <savorywheel/traffic/silence_detector.hpp>

#include <gtest/gtest.h>
#include <support/manual_clock.hpp>

#include <vector>

namespace savorywheel::test {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds service_time{100};

/** Detector at 10 s after the start, and calls that start at the current time. */
class silence_detector_test : public testing::Test {
protected:
    silence_detector_test() { time_.advance(std::chrono::seconds{10}); }

    [[nodiscard]] std::vector<monotonic_time> calls(std::size_t count) const
    {
        return std::vector<monotonic_time>(count, time_.now());
    }

    manual_clock time_;
    silence_detector subject_;
};

} // namespace

TEST_F(silence_detector_test, reports_silence_after_several_overdue_calls)
{
    subject_.record_response(time_.now());
    const auto started = calls(3);
    time_.advance(milliseconds{400});
    EXPECT_FALSE(subject_.update(started, service_time, time_.now()));
    time_.advance(milliseconds{1});
    EXPECT_TRUE(subject_.update(started, service_time, time_.now()));
}

TEST_F(silence_detector_test, slow_backend_server_that_responds_is_not_silent)
{
    const auto started = calls(8);
    time_.advance(milliseconds{900});
    subject_.record_response(time_.now());
    time_.advance(milliseconds{50});
    EXPECT_FALSE(subject_.update(started, service_time, time_.now()));
}

TEST_F(silence_detector_test, too_few_overdue_calls_are_not_silence)
{
    const auto started = calls(2);
    time_.advance(std::chrono::seconds{2});
    EXPECT_FALSE(subject_.update(started, service_time, time_.now()));
}

TEST_F(silence_detector_test, allows_one_probe_per_period_until_a_response_arrives)
{
    const auto started = calls(3);
    time_.advance(std::chrono::seconds{1});
    ASSERT_TRUE(subject_.update(started, service_time, time_.now()));
    EXPECT_FALSE(subject_.allow_probe(time_.now()));
    time_.advance(milliseconds{500});
    EXPECT_TRUE(subject_.allow_probe(time_.now()));
    EXPECT_FALSE(subject_.allow_probe(time_.now()));
    subject_.record_response(time_.now());
    EXPECT_FALSE(subject_.silent());
}

} // namespace savorywheel::test
