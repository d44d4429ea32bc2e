#include <savorywheel/core/seeded_random.hpp>
#include <savorywheel/traffic/admission.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

namespace savorywheel::test {

namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t slots = 9;
constexpr milliseconds mean_time{90};
constexpr milliseconds preferred{400};
constexpr milliseconds deadline{1000};
constexpr int calls = 5000;

/** Number of calls by outcome. */
struct play_result {
    int in_time{};
    int late{};
    int refused{};
};

/**
 * Simulates calls that arrive evenly at a multiple of the capacity of the slots.
 * @param load Arrival rate divided by the capacity.
 * @param bounded True if the calls have a target latency.
 */
play_result play(double load, bool bounded)
{
    seeded_random random{20261204};
    const auto step = mean_time / (slots * load);
    std::vector<duration> free_at(slots);
    play_result result;
    for (int i = 0; i < calls; ++i) {
        const auto now = std::chrono::duration_cast<duration>(step * i);
        const auto first = std::ranges::min_element(free_at);
        admission view;
        view.slots = slots;
        view.service_time = mean_time;
        view.remaining = deadline;
        view.preferred = bounded ? preferred : milliseconds::zero();
        const auto start = std::max(*first, now);
        view.running = static_cast<std::uint32_t>(
            std::ranges::count_if(free_at, [now](duration time) { return time > now; }));
        view.waiting = static_cast<std::size_t>((start - now) * slots / mean_time);
        if (view.decide() != call_refusal::none) {
            ++result.refused;
            continue;
        }
        const auto time = mean_time / 2 + milliseconds{random.below(mean_time.count())};
        *first = start + time;
        ++(*first - now <= preferred ? result.in_time : result.late);
    }
    return result;
}

} // namespace

TEST(overload, twice_the_load_gets_as_many_answers_in_time_as_the_slots_can_give)
{
    const auto bounded = play(2.0, true);
    EXPECT_GE(bounded.in_time, calls * 45 / 100);
    EXPECT_LE(bounded.late, calls / 50);
    const auto unbounded = play(2.0, false);
    EXPECT_GT(unbounded.late, calls / 4);
}

TEST(overload, a_load_below_the_slots_is_not_refused)
{
    const auto result = play(0.7, true);
    EXPECT_EQ(result.refused, 0);
}

TEST(overload, a_refused_caller_is_told_when_the_queue_will_be_short_enough)
{
    admission view;
    view.slots = slots;
    view.running = slots;
    view.waiting = 30;
    view.service_time = mean_time;
    view.remaining = deadline;
    view.preferred = preferred;
    ASSERT_EQ(view.decide(), call_refusal::overload);
    const auto wait = view.retry_after();
    EXPECT_GE(wait, view.expected_wait() + mean_time - preferred);
    EXPECT_LE(wait, view.expected_wait() + 2 * mean_time);
}

TEST(overload, the_highest_rank_is_refused_only_for_its_deadline)
{
    admission view;
    view.slots = slots;
    view.running = slots;
    view.waiting = 30;
    view.service_time = mean_time;
    view.remaining = deadline;
    view.preferred = preferred;
    view.highest_rank = true;
    EXPECT_EQ(view.decide(), call_refusal::none);
}

} // namespace savorywheel::test
