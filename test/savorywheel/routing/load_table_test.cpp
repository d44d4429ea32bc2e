#include <savorywheel/routing/load_table.hpp>

#include <gtest/gtest.h>

namespace savorywheel::test {

namespace {

using std::chrono::milliseconds;

const node_id endpoint{"n"};

monotonic_time at(int millisecond)
{
    return monotonic_time{milliseconds{millisecond}};
}

} // namespace

TEST(load_table, call_sent_after_the_report_is_added_to_the_reported_work)
{
    load_table subject;
    subject.report(endpoint, {1, 0, milliseconds{100}, milliseconds{100}}, at(1000));
    subject.begin(endpoint, {at(1000), milliseconds{200}});
    EXPECT_EQ(subject.load_of(endpoint, at(1000)).work, milliseconds{300});
    subject.end(endpoint, {at(1000), milliseconds{200}});
    EXPECT_EQ(subject.load_of(endpoint, at(1000)).work, milliseconds{100});
}

// Guards against counting a call twice that the gate has already reported.
TEST(load_table, call_that_the_report_contains_is_not_added)
{
    load_table subject;
    subject.begin(endpoint, {at(900), milliseconds{200}});
    subject.report(endpoint, {1, 0, milliseconds{100}, milliseconds{150}}, at(1000));
    EXPECT_EQ(subject.load_of(endpoint, at(1000)).work, milliseconds{150});
}

// Guards against missing a call that was still on its way to a gate in another region when that
// made its report.
TEST(load_table, call_sent_within_a_round_trip_before_the_report_is_added)
{
    load_table subject;
    subject.record_run(endpoint, milliseconds{100}, milliseconds{100}, milliseconds{140});
    subject.begin(endpoint, {at(980), milliseconds{200}});
    subject.report(endpoint, {1, 0, milliseconds{100}, milliseconds{150}}, at(1000));
    EXPECT_GT(subject.load_of(endpoint, at(1000)).work, milliseconds{300});
}

TEST(load_table, reported_work_decays_and_own_calls_do_not)
{
    load_table subject;
    subject.report(endpoint, {7, 9, milliseconds{100}, milliseconds{1600}}, at(0));
    subject.begin(endpoint, {at(0), milliseconds{400}});
    EXPECT_LT(subject.load_of(endpoint, at(60'000)).work, milliseconds{101});
    EXPECT_GE(subject.load_of(endpoint, at(60'000)).work, milliseconds{100});
}

TEST(load_table, idle_gate_reports_work_only_if_it_has_done_so_before)
{
    load_table subject;
    subject.report(endpoint, {0, 0, milliseconds{100}, {}}, at(0));
    EXPECT_FALSE(subject.load_of(endpoint, at(0)).reports_work);
    subject.report(endpoint, {1, 0, milliseconds{100}, milliseconds{50}}, at(1));
    subject.report(endpoint, {0, 0, milliseconds{100}, {}}, at(2));
    EXPECT_TRUE(subject.load_of(endpoint, at(2)).reports_work);
    EXPECT_EQ(subject.load_of(endpoint, at(2)).work, duration::zero());
}

} // namespace savorywheel::test
