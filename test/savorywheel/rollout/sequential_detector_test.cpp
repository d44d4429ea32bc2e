#include <savorywheel/rollout/sequential_detector.hpp>

#include <gtest/gtest.h>

namespace savorywheel::test {

namespace {

constexpr detector_settings settings{0.002, 250.0, {0.01, 0.05, 0.15, 0.4}, 1000.0};

/** Passes periods without an overload to a detector. */
void observe_calm(sequential_detector& detector)
{
    constexpr int periods = 10;
    for (int i = 0; i < periods; ++i) {
        detector.observe({150, 3}, {8, 0});
    }
}

} // namespace

TEST(sequential_detector, worse_version_is_found_when_an_overload_makes_both_fail)
{
    constexpr double withdrawal_score = 13.0;
    sequential_detector subject{settings};
    observe_calm(subject);
    for (int i = 0; i < 7; ++i) {
        subject.observe({110, 78}, {60, 51});
    }
    EXPECT_GT(subject.score(), withdrawal_score);
}

TEST(sequential_detector, equal_version_is_not_suspected_when_an_overload_makes_both_fail)
{
    constexpr double suspicion_score = 6.5;
    sequential_detector subject{settings};
    observe_calm(subject);
    for (int i = 0; i < 20; ++i) {
        subject.observe({110, 78}, {60, 43});
        EXPECT_LT(subject.score(), suspicion_score);
    }
}

} // namespace savorywheel::test
