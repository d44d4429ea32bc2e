#ifndef SAVORYWHEEL_CONFIG_ROLLOUT_PROGRESS_HPP
#define SAVORYWHEEL_CONFIG_ROLLOUT_PROGRESS_HPP

#include <savorywheel/config/rollout_order.hpp>

#include <cstdint>

namespace savorywheel {

/**
 * @brief Ranks the records of one order by how far the rollout has got.
 *
 * A rollout that has ended ranks above each step of one in progress, so that it is not run again.
 * @param order Order with or without a record.
 * @return Zero without a record.
 */
[[nodiscard]] std::uint64_t rollout_progress(const rollout_order& order);

/** @return True if both orders request the same move. */
[[nodiscard]] bool is_same_rollout(const rollout_order& left, const rollout_order& right);

} // namespace savorywheel

#endif
