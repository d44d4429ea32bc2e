#ifndef SAVORYWHEEL_ROLLOUT_STEP_SCHEDULE_HPP
#define SAVORYWHEEL_ROLLOUT_STEP_SCHEDULE_HPP

#include <savorywheel/config/rollout_move.hpp>
#include <savorywheel/core/clock.hpp>

#include <cstdint>

namespace savorywheel {

/** @brief Least time between two steps, so that a step is in force before it is judged. */
inline constexpr std::chrono::milliseconds min_step_interval{1500};

/** @brief Time for which the old versions finish what they run, before a move is done. */
inline constexpr std::chrono::milliseconds drain_time{2000};

/** @return The next step after a progress, in parts per thousand of the move. */
[[nodiscard]] std::uint32_t next_progress(const rollout_move& move,
                                          std::uint32_t progress) noexcept;

/** @return When a move is scheduled to reach its target: some time before its deadline. */
[[nodiscard]] calendar_time finish_time(const rollout_move& move) noexcept;

/** @return When a step is scheduled, so that the last one has settled at the finish. */
[[nodiscard]] calendar_time scheduled_time(const rollout_move& move,
                                           std::uint32_t progress) noexcept;

/** @return Least time between two steps that evidence allows before their schedule. */
[[nodiscard]] std::chrono::milliseconds early_step_interval(const rollout_move& move) noexcept;

} // namespace savorywheel

#endif
