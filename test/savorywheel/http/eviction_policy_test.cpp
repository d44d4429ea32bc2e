#include <savorywheel/http/eviction_policy.hpp>

#include <gtest/gtest.h>

#include <vector>

namespace savorywheel::test {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t kib = 1024;
constexpr std::size_t memory = 1024 * kib;
constexpr std::uint64_t requester = 99;
const monotonic_time now = monotonic_time{} + 1h;

caller_record caller(std::uint64_t id, caller_phase phase, std::size_t held, duration silent)
{
    return {id, phase, held, now - silent};
}

std::optional<std::uint64_t> choose(const std::vector<caller_record>& callers, std::size_t held,
                                    memory_need need = memory_need::request,
                                    std::size_t missing = 1)
{
    return eviction_policy{memory}.choose_for_memory(callers, requester, held, need, missing, now);
}

} // namespace

// Load: bodies that stopped short, beside an ordinary request.
TEST(eviction_policy, the_transfer_without_progress_for_longest_makes_room)
{
    const std::vector callers{caller(1, caller_phase::receiving, 200 * kib, 2s),
                              caller(2, caller_phase::sending, 200 * kib, 5s),
                              caller(3, caller_phase::receiving, 200 * kib, 3s)};
    EXPECT_EQ(choose(callers, 10 * kib), 2U);
    EXPECT_EQ(choose(callers, 200 * kib), 2U);
}

// Load: requests that run, with bodies that fill the memory.
TEST(eviction_policy, a_connection_whose_request_runs_is_never_closed)
{
    const std::vector callers{caller(1, caller_phase::running, 900 * kib, 1h),
                              caller(2, caller_phase::idle, 12 * kib, 1h)};
    EXPECT_EQ(choose(callers, 10 * kib), std::nullopt);
    EXPECT_EQ(choose(callers, 10 * kib, memory_need::response), std::nullopt);
}

// Load: large bodies that all arrive steadily. Closing one for another would complete none.
TEST(eviction_policy, a_large_request_is_refused_rather_than_a_live_transfer_closed)
{
    const std::vector callers{caller(1, caller_phase::receiving, 300 * kib, 5ms),
                              caller(2, caller_phase::receiving, 300 * kib, 900ms)};
    EXPECT_EQ(choose(callers, 300 * kib), std::nullopt);
    EXPECT_EQ(choose(callers, 20 * kib), 2U);
    EXPECT_EQ(choose(callers, 300 * kib, memory_need::response), 2U);
}

// Load: many callers with small headers, older than one with a large body.
TEST(eviction_policy, large_holders_are_closed_before_small_ones)
{
    const std::vector callers{caller(1, caller_phase::receiving, 12 * kib, 6s),
                              caller(2, caller_phase::receiving, 300 * kib, 2s)};
    EXPECT_EQ(choose(callers, 20 * kib), 2U);
    EXPECT_EQ(choose({callers.front()}, 20 * kib), 1U);
}

// Load: a need that no eviction can satisfy; closing connections for it would help nobody.
TEST(eviction_policy, nobody_is_closed_in_vain)
{
    const std::vector callers{caller(1, caller_phase::receiving, 100 * kib, 5s)};
    EXPECT_EQ(choose(callers, 300 * kib, memory_need::request, 101 * kib), std::nullopt);
    EXPECT_EQ(choose(callers, 2 * memory), std::nullopt);
    EXPECT_EQ(choose({caller(requester, caller_phase::receiving, 900 * kib, 5s)}, 300 * kib),
              std::nullopt);
}

// Load: large bodies take all that they may; a part stays for small requests and for responses.
TEST(eviction_policy, large_requests_leave_memory_for_others)
{
    const eviction_policy policy{memory};
    EXPECT_EQ(policy.limit_for(300 * kib, memory_need::request), memory - memory / 4);
    EXPECT_EQ(policy.limit_for(eviction_policy::small_bytes, memory_need::request), memory);
    EXPECT_EQ(policy.limit_for(300 * kib, memory_need::response), memory);
}

// Load: as many connections as are allowed, most of them stopped half-way or silent.
TEST(eviction_policy, a_new_connection_takes_the_place_of_a_stalled_or_idle_one)
{
    std::vector callers{
        caller(1, caller_phase::idle, kib, 8s), caller(2, caller_phase::receiving, kib, 4s),
        caller(3, caller_phase::running, kib, 1h), caller(4, caller_phase::sending, kib, 10ms)};
    const auto chosen = [&] { return eviction_policy::choose_for_connection(callers, now); };
    EXPECT_EQ(chosen(), 2U);
    callers.erase(callers.begin() + 1);
    EXPECT_EQ(chosen(), 1U);
    callers.front().progressed = now;
    EXPECT_EQ(chosen(), 4U);
    callers.pop_back();
    EXPECT_EQ(chosen(), std::nullopt);
}

} // namespace savorywheel::test
