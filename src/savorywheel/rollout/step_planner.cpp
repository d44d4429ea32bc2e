#include <savorywheel/rollout/step_planner.hpp>

#include <fmt/format.h>

#include <utility>

namespace savorywheel {

namespace {

commit_kind kind_of(rollout_action action) noexcept
{
    switch (action) {
    case rollout_action::withdraw:
        return commit_kind::withdrawal;
    case rollout_action::finish:
        return commit_kind::rollout_done;
    case rollout_action::hold:
    case rollout_action::advance:
        return commit_kind::rollout_step;
    }
    return commit_kind::rollout_step;
}

/** Finds the service; fails if the automation may not apply the action to it. */
outcome<std::shared_ptr<const service_state>>
find_controllable_service(const mesh_state& state, const move_id& move, rollout_action action)
{
    auto found = state.find(move.service);
    if (!found || !found->move || found->move->asked_at != move.asked_at) {
        return failure{failure_code::conflict, "the move was replaced"};
    }
    if (found->override_in_force) {
        return failure{failure_code::conflict,
                       fmt::format("{} is under an override", move.service.str())};
    }
    const auto status = found->move->status;
    const bool may_withdraw = action == rollout_action::withdraw && status == move_status::done;
    if (status != move_status::in_progress && !may_withdraw) {
        return failure{failure_code::conflict, "the move has ended"};
    }
    return found;
}

void apply_decision(const rollout_decision& decision, calendar_time now, service_state& service)
{
    service.weights = decision.weights;
    auto& move = *service.move;
    move.reason = decision.reason;
    if (decision.action == rollout_action::finish) {
        move.status = move_status::done;
        move.ended_at = now;
    }
    if (decision.action == rollout_action::withdraw) {
        service.weights = move.from;
        move.status = move_status::withdrawn;
        move.ended_at = now;
    }
}

} // namespace

outcome<commit> plan_rollout_commit(const mesh_state& state, const move_id& move,
                                    const rollout_decision& decision, const author_name& author,
                                    calendar_time now)
{
    const auto found = find_controllable_service(state, move, decision.action);
    if (!found) {
        return found.reason();
    }
    auto next = **found;
    apply_decision(decision, now, next);
    commit planned;
    planned.base = state.version();
    planned.version = state.version().next();
    planned.kind = kind_of(decision.action);
    planned.author = author;
    planned.written_at = now;
    planned.reason = decision.reason;
    planned.upserts.push_back(std::move(next));
    return planned;
}

} // namespace savorywheel
