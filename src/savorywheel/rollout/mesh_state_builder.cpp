#include <savorywheel/rollout/mesh_state_builder.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace savorywheel {

namespace {

std::set<version_name> other_versions(const member_table& members, const rollout_order& order)
{
    std::set<version_name> versions;
    if (const auto* group = members.group(order.service)) {
        for (const auto& [id, record] : group->records) {
            if (record->version != order.target && !record->version.empty()) {
                versions.insert(record->version);
            }
        }
    }
    return versions;
}

std::vector<version_weight> equal_shares(const std::set<version_name>& versions)
{
    std::vector<version_weight> shares;
    auto left = weight_sum_permille;
    auto count = static_cast<std::uint32_t>(versions.size());
    for (const auto& version : versions) {
        const auto share = left / count--;
        shares.push_back({version, share});
        left -= share;
    }
    return shares;
}

} // namespace

mesh_state mesh_state_builder::build(const operator_documents& documents,
                                     const member_table& members, calendar_time now)
{
    has_unrecorded_orders_ = false;
    last_version_ = std::max(last_version_, documents.revision_sum());
    mesh_state state{documents.configuration, last_version_};
    for (const auto& order : documents.orders) {
        const auto known = state.find(order.service);
        if (!known) {
            continue;
        }
        auto service = *known;
        if (order.record) {
            service.weights = order.record->weights;
            // The old backend servers stop once a move is done, so it cannot be withdrawn any more.
            if (order.record->move.status != move_status::done) {
                service.move = order.record->move;
            }
        }
        else {
            has_unrecorded_orders_ = true;
            service.move = start_move(order, members, now);
            service.weights = service.move->from.empty() ? service.move->to : service.move->from;
        }
        state.replace(std::move(service));
    }
    return state;
}

rollout_move mesh_state_builder::start_move(const rollout_order& order, const member_table& members,
                                            calendar_time now)
{
    auto& seen = first_seen_[order.service];
    if (seen.revision != order.revision) {
        seen = {order.revision, now};
    }
    rollout_move move;
    move.asked_at = config_version{order.revision};
    move.from = equal_shares(other_versions(members, order));
    move.to = {{order.target, weight_sum_permille}};
    move.started_at = seen.at;
    move.due = seen.at + order.duration;
    return move;
}

} // namespace savorywheel
