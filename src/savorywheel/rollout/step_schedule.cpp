#include <savorywheel/rollout/step_schedule.hpp>

#include <algorithm>
#include <array>

namespace savorywheel {

namespace {

constexpr std::array<std::uint32_t, 9> steps{10, 20, 50, 100, 200, 350, 500, 700, 1000};
constexpr std::chrono::milliseconds usual_length{600'000};
constexpr std::chrono::milliseconds shortest_length{20'000};
constexpr std::chrono::milliseconds longest_reserve{300'000};
constexpr int reserve_divisor = 10;
constexpr int early_step_divisor = 40;
constexpr std::chrono::milliseconds shortest_early_step{3000};
constexpr std::chrono::milliseconds longest_early_step{120'000};

std::chrono::milliseconds length_of(const rollout_move& move) noexcept
{
    if (!move.due) {
        return usual_length;
    }
    return std::max(*move.due - move.started_at, shortest_length);
}

} // namespace

std::uint32_t next_progress(std::uint32_t progress) noexcept
{
    const auto* next = std::ranges::upper_bound(steps, progress);
    return next == steps.end() ? steps.back() : *next;
}

calendar_time finish_time(const rollout_move& move) noexcept
{
    const auto length = length_of(move);
    return move.started_at + length - std::min(length / reserve_divisor, longest_reserve);
}

calendar_time scheduled_time(const rollout_move& move, std::uint32_t progress) noexcept
{
    const auto position = std::ranges::lower_bound(steps, progress) - steps.begin();
    const auto whole = finish_time(move) - move.started_at;
    return move.started_at + whole * position / (std::ssize(steps) - 1);
}

std::chrono::milliseconds early_step(const rollout_move& move) noexcept
{
    return std::clamp(length_of(move) / early_step_divisor, shortest_early_step,
                      longest_early_step);
}

} // namespace savorywheel
