#include <savorywheel/traffic/crash_suspects.hpp>

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace savorywheel::test {

namespace {

crash_report report(const std::string& node, std::uint64_t crash, request_digest digest)
{
    return {service_name{"bookdesk"}, node_id{node}, crash, digest};
}

} // namespace

TEST(proof_crashing_request, is_blocked_after_two_crashes_however_often_each_is_reported)
{
    EXPECT_TRUE(rc::check([](std::vector<bool> news) {
        crash_suspects suspects;
        std::set<bool> crashes;
        for (const bool second : news) {
            suspects.add(report(second ? "b" : "a", 1, 7), {});
            crashes.insert(second);
            RC_ASSERT(suspects.blocked(7, {}) == (crashes.size() == 2));
            RC_ASSERT(!suspects.blocked(8, {}));
        }
    }));
}

TEST(crash_suspects, forgets_after_a_while_and_stays_small)
{
    crash_suspects suspects;
    suspects.add(report("a", 1, 7), {});
    suspects.add(report("b", 1, 7), {});
    EXPECT_TRUE(suspects.blocked(7, {}));
    const auto later = monotonic_time{std::chrono::hours{1}};
    EXPECT_FALSE(suspects.blocked(7, later));
    for (request_digest digest = 0; digest < 5000; ++digest) {
        suspects.add(report("a", digest, digest), later);
    }
    EXPECT_LE(suspects.size(), 1024U);
}

TEST(crash_suspects, an_answered_request_is_cleared)
{
    crash_suspects suspects;
    suspects.add(report("a", 1, 7), {});
    suspects.clear(7);
    suspects.add(report("b", 1, 7), {});
    EXPECT_FALSE(suspects.blocked(7, {}));
}

} // namespace savorywheel::test
