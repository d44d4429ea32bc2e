#include <savorywheel/rollout/mesh_state_builder.hpp>
#include <savorywheel/rollout/move_shares.hpp>

#include <algorithm>
#include <iterator>
#include <numeric>
#include <set>
#include <span>
#include <utility>

namespace savorywheel {

namespace {

std::set<version_name> running_versions(const member_table& members, const service_name& service)
{
    std::set<version_name> versions;
    if (const auto* group = members.group(service)) {
        for (const auto& [id, record] : group->records) {
            if (!record->version.empty()) {
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

/** The running ones of the weighted versions, whose shares are scaled to the whole. */
std::vector<version_weight> shares_of_running(std::span<const version_weight> weights,
                                              const std::set<version_name>& running)
{
    std::vector<version_weight> shares;
    std::ranges::copy_if(weights, std::back_inserter(shares), [&running](const auto& item) {
        return item.permille > 0 && running.contains(item.version);
    });
    // Records of other writers may have weights of any size.
    auto sum = std::accumulate(
        shares.begin(), shares.end(), std::uint64_t{0},
        [](std::uint64_t total, const version_weight& item) { return total + item.permille; });
    std::uint64_t left = weight_sum_permille;
    for (auto& item : shares) {
        const auto share = left * item.permille / sum;
        sum -= item.permille;
        left -= share;
        item.permille = static_cast<std::uint32_t>(share);
    }
    return shares;
}

/** The weights that carry the traffic if the move goes no further. */
std::span<const version_weight> carrying_weights(const rollout_record& record)
{
    return record.move.status == move_status::done ? record.weights : record.move.from;
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
            const auto carrying = carrying_weights(*order.record);
            carrying_[order.service].assign(carrying.begin(), carrying.end());
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
            carrying_[order.service] = service.move->from;
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
        seen = {order.revision, now, carrying_[order.service]};
        if (order.previous) {
            const auto carrying = carrying_weights(*order.previous);
            seen.before.assign(carrying.begin(), carrying.end());
        }
    }
    auto running = running_versions(members, order.service);
    rollout_move move;
    move.asked_at = config_version{order.revision};
    move.from = shares_of_running(seen.before, running);
    if (move.from.empty()) {
        running.erase(order.target);
        if (order.previous && order.previous->move.status == move_status::withdrawn) {
            std::erase_if(running, [&order](const version_name& version) {
                return gains_share(order.previous->move, version);
            });
        }
        move.from = equal_shares(running);
    }
    move.to = {{order.target, weight_sum_permille}};
    move.started_at = seen.at;
    move.due = seen.at + order.duration;
    return move;
}

} // namespace savorywheel
