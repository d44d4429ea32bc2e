#include <savorywheel/admin/change_planner.hpp>

#include <algorithm>
#include <set>

namespace savorywheel {

namespace {

bool moves(const service_state& service) noexcept
{
    return service.move && service.move->status == move_status::in_progress;
}

rollout_move make_move(const service_state& old, const service_spec& wanted, config_version version,
                       calendar_time now)
{
    rollout_move move;
    move.asked_at = version;
    move.from = moves(old) ? old.move->from : old.weights;
    move.to = wanted.target.weights;
    move.started_at = now;
    move.due = wanted.target.due;
    move.reason = "waits for the first step";
    return move;
}

/** Ends a move of which no step was made and whose target is no longer requested. */
void end_unstarted_move(service_state& service, calendar_time now)
{
    service.move->status = move_status::withdrawn;
    service.move->ended_at = now;
    service.move->reason = "the text no longer asks for it";
}

service_state change_service_state(const service_state& old, const service_spec& wanted,
                                   config_version version, calendar_time now)
{
    auto next = old;
    next.spec = wanted;
    if (old.spec.target == wanted.target) {
        return next;
    }
    if (old.weights != wanted.target.weights) {
        next.move = make_move(old, wanted, version, now);
    }
    else if (moves(old) && old.move->to != wanted.target.weights) {
        end_unstarted_move(next, now);
    }
    return next;
}

service_state make_service_state(const service_spec& wanted)
{
    service_state next;
    next.spec = wanted;
    next.weights = wanted.target.weights;
    return next;
}

} // namespace

commit plan_text_change(const mesh_state& state, const mesh_spec& wanted, calendar_time now,
                        std::optional<config_version> seen)
{
    commit change;
    change.base = seen.value_or(state.version());
    change.version = state.version().next();
    change.kind = commit_kind::text_applied;
    change.written_at = now;
    std::set<service_name> kept;
    for (const auto& service : wanted.services) {
        kept.insert(service.name);
        const auto old = state.find(service.name);
        if (!old) {
            change.upserts.push_back(make_service_state(service));
        }
        else if (old->spec != service) {
            change.upserts.push_back(change_service_state(*old, service, change.version, now));
        }
    }
    for (const auto& [name, service] : state.services()) {
        if (!kept.contains(name)) {
            change.removals.push_back(name);
        }
    }
    if (!std::ranges::equal(state.domains(), wanted.domains)) {
        change.domains = wanted.domains;
    }
    return change;
}

} // namespace savorywheel
