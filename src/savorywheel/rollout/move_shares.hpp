#ifndef SAVORYWHEEL_ROLLOUT_MOVE_SHARES_HPP
#define SAVORYWHEEL_ROLLOUT_MOVE_SHARES_HPP

#include <savorywheel/config/service_state.hpp>

#include <cstdint>
#include <span>
#include <vector>

namespace savorywheel {

/**
 * @brief Gives the shares part of the way through a move.
 * @param move The move.
 * @param progress Part of the move, in parts per thousand.
 * @return Shares that add up to weight_sum_permille.
 */
[[nodiscard]] std::vector<version_weight> shares_at(const rollout_move& move,
                                                    std::uint32_t progress);

/** @return Part of the move that shares stand for, in parts per thousand. */
[[nodiscard]] std::uint32_t progress_of(const rollout_move& move,
                                        std::span<const version_weight> weights);

/** @return Share of a version; zero if it has none. */
[[nodiscard]] std::uint32_t share_of(std::span<const version_weight> weights,
                                     const version_name& version) noexcept;

/** @return True if the version gains a share in the move. */
[[nodiscard]] bool gains_share(const rollout_move& move, const version_name& version) noexcept;

/** @return True if the version loses a share in the move. */
[[nodiscard]] bool loses_share(const rollout_move& move, const version_name& version) noexcept;

} // namespace savorywheel

#endif
