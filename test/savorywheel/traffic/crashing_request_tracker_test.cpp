#include <savorywheel/traffic/answered_requests.hpp>
#include <savorywheel/traffic/crashing_request_tracker.hpp>

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace savorywheel::test {

namespace {

crash_report report(const std::string& node, std::uint64_t crash, request_digest digest)
{
    return {service_name{"bookdesk"}, node_id{node}, crash, digest, {}, false};
}

} // namespace

TEST(proof_crashing_request, is_blocked_after_two_distinct_crashes)
{
    EXPECT_TRUE(rc::check([](const std::vector<bool>& reports) {
        crashing_request_tracker tracker;
        std::set<bool> crashes;
        for (const bool second : reports) {
            tracker.add(report(second ? "b" : "a", 1, 7), {});
            crashes.insert(second);
            RC_ASSERT(tracker.is_blocked(7, {}) == (crashes.size() == 2));
            RC_ASSERT(!tracker.is_blocked(8, {}));
        }
    }));
}

TEST(crashing_request_tracker, expires_entries_and_bounds_size)
{
    crashing_request_tracker tracker;
    tracker.add(report("a", 1, 7), {});
    tracker.add(report("b", 1, 7), {});
    EXPECT_TRUE(tracker.is_blocked(7, {}));
    const auto later = monotonic_time{std::chrono::hours{1}};
    EXPECT_FALSE(tracker.is_blocked(7, later));
    for (request_digest digest = 0; digest < 5000; ++digest) {
        tracker.add(report("a", digest, digest), later);
    }
    EXPECT_LE(tracker.size(), 1024U);
}

TEST(crashing_request_tracker, answered_request_is_removed)
{
    crashing_request_tracker tracker;
    tracker.add(report("a", 1, 7), {});
    tracker.clear(7, {});
    tracker.add(report("b", 1, 7), {});
    EXPECT_FALSE(tracker.is_blocked(7, {}));
    EXPECT_EQ(tracker.size(), 1U);
}

// Guards against a response to a call that was in progress during a crash elsewhere: it does not
// show that the request is harmless there.
TEST(crashing_request_tracker, response_to_a_call_from_before_a_crash_does_not_remove_it)
{
    using namespace std::chrono_literals;
    const monotonic_time start{1h};
    crashing_request_tracker tracker;
    tracker.add(report("a", 1, 7), start + 1s);
    tracker.clear(7, start);
    tracker.add(report("b", 1, 7), start + 2s);
    EXPECT_TRUE(tracker.is_blocked(7, start + 2s));
    tracker.clear(7, start + 1s);
    EXPECT_FALSE(tracker.is_blocked(7, start + 2s));
}

// Guards against reports that a gate keeps longer each time that another one hands them over.
TEST(crashing_request_tracker, handed_over_reports_expire_with_the_original_ones)
{
    using namespace std::chrono_literals;
    const monotonic_time start{1h};
    crashing_request_tracker first;
    first.add(report("a", 1, 7), start);
    first.add(report("b", 1, 7), start + 5min);
    crashing_request_tracker second;
    for (const auto& item : first.reports_of(service_name{"bookdesk"}, start + 9min)) {
        second.add(item, start + 9min);
    }
    EXPECT_TRUE(second.is_blocked(7, start + 14min));
    EXPECT_FALSE(second.is_blocked(7, start + 15min));
    EXPECT_TRUE(first.reports_of(service_name{"plugboard"}, start + 9min).empty());
    EXPECT_TRUE(first.reports_of(service_name{"bookdesk"}, start + 15min).empty());
}

// Guards against review case 7 in its second form: another caller's request that had been answered
// many times ran beside two crashes and was refused from then on.
TEST(crashing_request_tracker, request_that_was_answered_before_is_blocked_after_the_third_crash)
{
    crashing_request_tracker tracker;
    auto answered = report("a", 1, 7);
    answered.answered_before = true;
    tracker.add(answered, {});
    tracker.add(report("b", 1, 7), {});
    EXPECT_FALSE(tracker.is_blocked(7, {}));
    tracker.add(report("c", 1, 7), {});
    EXPECT_TRUE(tracker.is_blocked(7, {}));
}

TEST(answered_requests, latest_ones_are_kept_within_a_bound)
{
    answered_requests subject;
    for (request_digest digest = 0; digest < 100'000; ++digest) {
        subject.add(digest);
        ASSERT_TRUE(subject.contains(digest));
        subject.add(500'000);
    }
    EXPECT_TRUE(subject.contains(500'000));
    EXPECT_FALSE(subject.contains(0));
    EXPECT_LE(subject.size(), 4096U);
}

} // namespace savorywheel::test
