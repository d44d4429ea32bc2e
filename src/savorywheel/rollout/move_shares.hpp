#ifndef SAVORYWHEEL_ROLLOUT_MOVE_SHARES_HPP
#define SAVORYWHEEL_ROLLOUT_MOVE_SHARES_HPP

#include <savorywheel/config/service_state.hpp>

#include <cstdint>
#include <span>
#include <vector>

namespace savorywheel {

/**
 * @brief Interpolates the shares between the start and the target of a move.
 * @param progress Progress of the move, in permille.
 * @return Shares that add up to weight_sum_permille.
 */
[[nodiscard]] std::vector<version_weight> shares_at(const rollout_move& move,
                                                    std::uint32_t progress);

/** @return Progress of the move that corresponds to the given shares, in permille. */
[[nodiscard]] std::uint32_t progress_of(const rollout_move& move,
                                        std::span<const version_weight> weights);

/** @return Share of a version in permille; zero if it is not listed. */
[[nodiscard]] std::uint32_t share_of(std::span<const version_weight> weights,
                                     const version_name& version) noexcept;

/** @return True if the move increases the version's share. */
[[nodiscard]] bool gains_share(const rollout_move& move, const version_name& version) noexcept;

/** @return True if the move decreases the version's share. */
[[nodiscard]] bool loses_share(const rollout_move& move, const version_name& version) noexcept;

} // namespace savorywheel

#endif
