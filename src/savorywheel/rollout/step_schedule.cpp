#include <savorywheel/rollout/step_schedule.hpp>

#include <algorithm>
#include <array>
#include <iterator>
#include <span>

namespace savorywheel {

namespace {

struct scheduled_step {
    std::uint32_t progress;
    /** Scheduled time, in permille of the time until the drain time starts. */
    int due;
};

constexpr std::array<scheduled_step, 9> long_steps{{{10, 0},
                                                    {20, 125},
                                                    {50, 250},
                                                    {100, 375},
                                                    {200, 500},
                                                    {350, 625},
                                                    {500, 750},
                                                    {700, 875},
                                                    {1000, 1000}}};
/** Evaluating a step takes seconds, so a short move has few steps and spends most of its time at
 * the first one. */
constexpr std::array<scheduled_step, 4> short_steps{{{50, 0}, {200, 640}, {500, 800}, {1000, 900}}};
constexpr int due_unit = 1000;
/** A faulty version gets its share for up to two periods, which counts in a short move. */
constexpr std::chrono::milliseconds short_evidence_period{500};
constexpr std::chrono::milliseconds long_evidence_period{1000};
constexpr std::chrono::milliseconds short_move_limit{60'000};
constexpr std::chrono::milliseconds default_move_duration{600'000};
constexpr std::chrono::milliseconds min_move_duration{5000};
constexpr std::chrono::milliseconds max_deadline_margin{300'000};
constexpr int deadline_margin_divisor = 10;
constexpr int early_step_divisor = 40;
constexpr std::chrono::milliseconds min_early_step_interval{3000};
constexpr std::chrono::milliseconds max_early_step_interval{120'000};

std::chrono::milliseconds duration_of(const rollout_move& move) noexcept
{
    if (!move.due) {
        return default_move_duration;
    }
    return std::max(*move.due - move.started_at, min_move_duration);
}

std::span<const scheduled_step> steps_of(const rollout_move& move) noexcept
{
    if (duration_of(move) < short_move_limit) {
        return short_steps;
    }
    return long_steps;
}

} // namespace

std::chrono::milliseconds evidence_period(const rollout_move& move) noexcept
{
    const bool is_short =
        move.status == move_status::in_progress && duration_of(move) < short_move_limit;
    return is_short ? short_evidence_period : long_evidence_period;
}

std::uint32_t next_progress(const rollout_move& move, std::uint32_t progress) noexcept
{
    const auto steps = steps_of(move);
    const auto next = std::ranges::upper_bound(steps, progress, {}, &scheduled_step::progress);
    return next == steps.end() ? steps.back().progress : next->progress;
}

std::uint32_t previous_progress(const rollout_move& move, std::uint32_t progress) noexcept
{
    const auto steps = steps_of(move);
    const auto step = std::ranges::lower_bound(steps, progress, {}, &scheduled_step::progress);
    return step == steps.begin() ? steps.front().progress : std::prev(step)->progress;
}

calendar_time finish_time(const rollout_move& move) noexcept
{
    const auto move_duration = duration_of(move);
    return move.started_at + move_duration -
           std::min(move_duration / deadline_margin_divisor, max_deadline_margin);
}

calendar_time scheduled_time(const rollout_move& move, std::uint32_t progress) noexcept
{
    const auto steps = steps_of(move);
    const auto step = std::ranges::lower_bound(steps, progress, {}, &scheduled_step::progress);
    const auto due = step == steps.end() ? steps.back().due : step->due;
    const auto step_span = finish_time(move) - drain_time - move.started_at;
    return move.started_at + step_span * due / due_unit;
}

std::chrono::milliseconds early_step_interval(const rollout_move& move) noexcept
{
    return std::clamp(duration_of(move) / early_step_divisor, min_early_step_interval,
                      max_early_step_interval);
}

} // namespace savorywheel
