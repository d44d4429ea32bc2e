#include <savorywheel/admin/change_planner.hpp>

#include <algorithm>
#include <set>
#include <span>

namespace savorywheel {

namespace {

bool is_moving(const service_state& service) noexcept
{
    return service.move && service.move->status == move_status::in_progress;
}

rollout_move make_move(const service_state& old, const service_spec& desired,
                       config_version version, calendar_time now)
{
    rollout_move move;
    move.asked_at = version;
    move.from = is_moving(old) ? old.move->from : old.weights;
    move.to = desired.target.weights;
    move.started_at = now;
    move.due = desired.target.due;
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

service_state update_service_state(const service_state& old, const service_spec& desired,
                                   config_version version, calendar_time now)
{
    auto next = old;
    next.spec = desired;
    if (old.spec.target == desired.target) {
        return next;
    }
    if (old.weights != desired.target.weights) {
        next.move = make_move(old, desired, version, now);
    }
    else if (is_moving(old) && old.move->to != desired.target.weights) {
        end_unstarted_move(next, now);
    }
    return next;
}

service_state make_service_state(const service_spec& desired)
{
    service_state next;
    next.spec = desired;
    next.weights = desired.target.weights;
    return next;
}

} // namespace

commit plan_text_change(const mesh_state& state, const mesh_spec& desired, calendar_time now,
                        std::optional<config_version> base_version)
{
    commit change;
    change.base = base_version.value_or(state.version());
    change.version = state.version().next();
    change.kind = commit_kind::text_applied;
    change.written_at = now;
    std::set<service_name> desired_names;
    for (const auto& service : desired.services) {
        desired_names.insert(service.name);
        const auto old = state.find(service.name);
        if (!old) {
            change.upserts.push_back(make_service_state(service));
        }
        else if (old->spec != service) {
            change.upserts.push_back(update_service_state(*old, service, change.version, now));
        }
    }
    for (const auto& [name, service] : state.services()) {
        if (!desired_names.contains(name)) {
            change.removals.push_back(name);
        }
    }
    if (!std::ranges::equal(state.domains(), desired.domains)) {
        change.domains = desired.domains;
    }
    const std::span<const tenant_spec> tenants =
        state.tenants() ? std::span<const tenant_spec>{*state.tenants()}
                        : std::span<const tenant_spec>{};
    if (!std::ranges::equal(tenants, desired.tenants)) {
        change.tenants = desired.tenants;
    }
    return change;
}

} // namespace savorywheel
