#ifndef SAVORYWHEEL_ROLLOUT_STEP_PLANNER_HPP
#define SAVORYWHEEL_ROLLOUT_STEP_PLANNER_HPP

#include <savorywheel/config/mesh_state.hpp>
#include <savorywheel/rollout/rollout_decision.hpp>

namespace savorywheel {

/** @brief The move that a commit of the automation belongs to. */
struct move_id {
    /** @brief Service. */
    service_name service;
    /** @brief Version of the commit that asked for the move. */
    config_version asked_at;
};

/**
 * @brief Plans the commit of a decision.
 * @param state State that the commit follows; it names that state's version as its base.
 * @param move The move that was decided about.
 * @param decision The decision; not hold.
 * @param author Writer.
 * @param now When.
 * @return The commit; conflict if the service is under an override, or if the move has ended or
 * was replaced.
 */
[[nodiscard]] outcome<commit> plan_rollout_commit(const mesh_state& state, const move_id& move,
                                                  const rollout_decision& decision,
                                                  const author_name& author, calendar_time now);

} // namespace savorywheel

#endif
