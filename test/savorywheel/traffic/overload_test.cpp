#include <savorywheel/core/seeded_random.hpp>
#include <savorywheel/traffic/admission_check.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

namespace savorywheel::test {

namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t slots = 9;
constexpr milliseconds mean_time{90};
constexpr milliseconds target_remaining{400};
constexpr milliseconds deadline{1000};
constexpr int calls = 5000;

/** Number of calls by outcome. */
struct simulation_result {
    int in_time{};
    int late{};
    int refused{};
};

/**
 * Simulates calls that arrive evenly at a multiple of the capacity of the slots.
 * @param load Arrival rate divided by the capacity.
 * @param bounded True if the calls have a target latency.
 */
simulation_result simulate(double load, bool bounded)
{
    seeded_random random{20261204};
    const auto step = mean_time / (slots * load);
    std::vector<duration> free_at(slots);
    simulation_result result;
    for (int i = 0; i < calls; ++i) {
        const auto now = std::chrono::duration_cast<duration>(step * i);
        const auto first = std::ranges::min_element(free_at);
        admission_check inputs;
        inputs.slots = slots;
        inputs.service_time = mean_time;
        inputs.remaining = deadline;
        inputs.target_remaining = bounded ? target_remaining : milliseconds::zero();
        const auto start = std::max(*first, now);
        inputs.running = static_cast<std::uint32_t>(
            std::ranges::count_if(free_at, [now](duration time) { return time > now; }));
        inputs.waiting = static_cast<std::size_t>((start - now) * slots / mean_time);
        if (inputs.decide() != call_refusal::none) {
            ++result.refused;
            continue;
        }
        const auto time = mean_time / 2 + milliseconds{random.below(mean_time.count())};
        *first = start + time;
        ++(*first - now <= target_remaining ? result.in_time : result.late);
    }
    return result;
}

} // namespace

TEST(overload, goodput_stays_near_capacity_at_twice_the_load)
{
    const auto bounded = simulate(2.0, true);
    EXPECT_GE(bounded.in_time, calls * 45 / 100);
    EXPECT_LE(bounded.late, calls / 50);
    const auto unbounded = simulate(2.0, false);
    EXPECT_GT(unbounded.late, calls / 4);
}

TEST(overload, load_below_capacity_is_not_refused)
{
    const auto result = simulate(0.7, true);
    EXPECT_EQ(result.refused, 0);
}

TEST(overload, retry_after_covers_the_excess_queue_wait)
{
    admission_check inputs;
    inputs.slots = slots;
    inputs.running = slots;
    inputs.waiting = 30;
    inputs.service_time = mean_time;
    inputs.remaining = deadline;
    inputs.target_remaining = target_remaining;
    ASSERT_EQ(inputs.decide(), call_refusal::overload);
    const auto wait = inputs.retry_after();
    EXPECT_GE(wait, inputs.expected_wait() + mean_time - target_remaining);
    EXPECT_LE(wait, inputs.expected_wait() + 2 * mean_time);
}

TEST(overload, highest_priority_ignores_the_target_latency)
{
    admission_check inputs;
    inputs.slots = slots;
    inputs.running = slots;
    inputs.waiting = 30;
    inputs.service_time = mean_time;
    inputs.remaining = deadline;
    inputs.target_remaining = target_remaining;
    inputs.highest_priority = true;
    EXPECT_EQ(inputs.decide(), call_refusal::none);
}

} // namespace savorywheel::test
