#ifndef SAVORYWHEEL_ROLLOUT_STEP_SCHEDULE_HPP
#define SAVORYWHEEL_ROLLOUT_STEP_SCHEDULE_HPP

#include <savorywheel/config/rollout_move.hpp>
#include <savorywheel/core/clock.hpp>

#include <cstdint>

namespace savorywheel {

/** @brief Minimum time between two steps, so that a step is in force before it is evaluated. */
inline constexpr std::chrono::milliseconds min_step_interval{1500};

/** @brief Time for calls in flight to the old versions to complete before a move is done. */
inline constexpr std::chrono::milliseconds drain_time{2000};

/** @return Time between two reports of evidence, and between two decisions, about a move. */
[[nodiscard]] std::chrono::milliseconds evidence_period(const rollout_move& move) noexcept;

/** @return The first step above the given progress, in permille of the move. */
[[nodiscard]] std::uint32_t next_progress(const rollout_move& move,
                                          std::uint32_t progress) noexcept;

/** @return The last step below the given progress; the first step if there is none. */
[[nodiscard]] std::uint32_t previous_progress(const rollout_move& move,
                                              std::uint32_t progress) noexcept;

/** @return Time at which a move is scheduled to be done; a margin before its deadline. */
[[nodiscard]] calendar_time finish_time(const rollout_move& move) noexcept;

/** @return Time at which a step is scheduled; the last one leaves the drain time to the finish. */
[[nodiscard]] calendar_time scheduled_time(const rollout_move& move,
                                           std::uint32_t progress) noexcept;

/** @return Minimum time between two steps that are taken ahead of schedule. */
[[nodiscard]] std::chrono::milliseconds early_step_interval(const rollout_move& move) noexcept;

} // namespace savorywheel

#endif
