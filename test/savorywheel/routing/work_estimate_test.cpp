#include <savorywheel/routing/work_estimate.hpp>

#include <gtest/gtest.h>

#include <string>

namespace savorywheel::test {

namespace {

using std::chrono::milliseconds;

void record(work_estimate& subject, const work_class& call, milliseconds work, int times)
{
    for (int i = 0; i < times; ++i) {
        subject.record(call, work);
    }
}

} // namespace

TEST(work_estimate, routes_and_body_sizes_of_a_service_are_told_apart)
{
    work_estimate subject;
    record(subject, {"s", "/long", 0}, milliseconds{300}, 10);
    record(subject, {"s", "/short", 0}, milliseconds{30}, 10);
    record(subject, {"s", "/short", 100'000}, milliseconds{90}, 10);
    EXPECT_EQ(subject.expected({"s", "/long", 10}).mean, milliseconds{300});
    EXPECT_EQ(subject.expected({"s", "/short", 0}).mean, milliseconds{30});
    EXPECT_EQ(subject.expected({"s", "/short", 100'000}).mean, milliseconds{90});
}

TEST(work_estimate, unknown_class_has_the_estimate_of_its_route_and_then_of_its_service)
{
    work_estimate subject;
    EXPECT_EQ(subject.expected({"s", "/a", 0}).mean, duration::zero());
    record(subject, {"s", "/a", 0}, milliseconds{100}, 10);
    EXPECT_EQ(subject.expected({"s", "/a", 1'000'000}).mean, milliseconds{100});
    EXPECT_EQ(subject.expected({"s", "/new", 0}).mean, milliseconds{100});
    EXPECT_EQ(subject.expected({"other", "/a", 0}).mean, duration::zero());
}

// Guards against an estimate that a single call, of which one in 100 takes three times as long,
// moves so far that the next calls are placed by it.
TEST(work_estimate, single_long_call_changes_it_by_a_few_percent)
{
    work_estimate subject;
    record(subject, {"s", "/a", 0}, milliseconds{100}, 100);
    subject.record({"s", "/a", 0}, milliseconds{300});
    EXPECT_LT(subject.expected({"s", "/a", 0}).mean, milliseconds{105});
    EXPECT_LT(subject.expected({"s", "/a", 0}).typical, milliseconds{103});
    record(subject, {"s", "/a", 0}, milliseconds{200}, 200);
    EXPECT_GT(subject.expected({"s", "/a", 0}).mean, milliseconds{190});
}

// Guards against memory that grows with each route that a configuration ever had.
TEST(work_estimate, number_of_classes_is_bounded_and_the_used_ones_are_kept)
{
    work_estimate subject;
    for (std::size_t i = 0; i < 2 * work_estimate::max_classes; ++i) {
        subject.record({"s", "/used", 0}, milliseconds{50});
        subject.record({"s", "/" + std::to_string(i), 0}, milliseconds{500});
        ASSERT_LE(subject.classes(), work_estimate::max_classes);
    }
    EXPECT_EQ(subject.expected({"s", "/used", 0}).mean, milliseconds{50});
}

} // namespace savorywheel::test
