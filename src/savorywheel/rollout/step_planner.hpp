#ifndef SAVORYWHEEL_ROLLOUT_STEP_PLANNER_HPP
#define SAVORYWHEEL_ROLLOUT_STEP_PLANNER_HPP

#include <savorywheel/config/mesh_state.hpp>
#include <savorywheel/rollout/rollout_decision.hpp>

namespace savorywheel {

/** @brief Identifies the move that an automatic commit belongs to. */
struct move_id {
    service_name service;
    /** @brief Version of the commit that requested the move. */
    config_version asked_at;
};

/**
 * @brief Plans the commit that executes a decision.
 * @param state State that the commit is based on.
 * @param move The move that the decision applies to.
 * @param decision The decision; must not be hold.
 * @param author Author of the commit.
 * @param now Calendar time of the commit.
 * @return The commit; failure_code::conflict if the service is under an override, or if the move
 * has ended or was replaced.
 */
[[nodiscard]] outcome<commit> plan_rollout_commit(const mesh_state& state, const move_id& move,
                                                  const rollout_decision& decision,
                                                  const author_name& author, calendar_time now);

} // namespace savorywheel

#endif
