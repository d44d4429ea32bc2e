#include <savorywheel/transport/peer_clock.hpp>

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace savorywheel::test {

TEST(proof_at_most_once, converted_deadline_is_never_after_the_true_one)
{
    EXPECT_TRUE(rc::check([](const std::vector<std::uint16_t>& steps) {
        using std::chrono::microseconds;
        const microseconds skew{*rc::gen::inRange(-1'000'000'000, 1'000'000'000)};
        peer_clock clock;
        monotonic_time now{std::chrono::hours{1}};
        for (const auto step : steps) {
            now += std::chrono::milliseconds{step};
            const microseconds delay{*rc::gen::inRange(0, 5'000'000)};
            clock.observe(to_peer_time(now - delay) + skew, now);
            const auto deadline = now + std::chrono::seconds{2};
            RC_ASSERT(clock.convert(deadline) <= to_peer_time(deadline) + skew);
        }
    }));
}

TEST(peer_clock, undelayed_heartbeat_converts_within_one_microsecond)
{
    peer_clock clock;
    EXPECT_FALSE(clock.convert({}));
    const monotonic_time now{std::chrono::hours{1}};
    clock.observe(to_peer_time(now), now);
    EXPECT_GE(clock.convert(now), to_peer_time(now) - peer_time{1});
}

} // namespace savorywheel::test
