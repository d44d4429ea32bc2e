#include <savorywheel/admin/override_planner.hpp>
#include <savorywheel/config/rfc3339_time.hpp>

#include <fmt/format.h>

#include <set>
#include <utility>

namespace savorywheel {

namespace {

failure invalid(std::string message)
{
    return {failure_code::invalid_argument, std::move(message)};
}

outcome<bool> check_weights(std::span<const version_weight> weights)
{
    std::set<version_name> versions;
    std::uint64_t sum = 0;
    for (const auto& weight : weights) {
        if (weight.version.empty() || !versions.insert(weight.version).second) {
            return invalid(
                fmt::format("version \"{}\" is empty or stands twice", weight.version.str()));
        }
        sum += weight.permille;
    }
    if (sum != weight_sum_permille) {
        return invalid(
            fmt::format("the shares add up to {} instead of {}", sum, weight_sum_permille));
    }
    return true;
}

/** Finds the service of a change; fails with a conflict if its override is newer than
 * `base_version`. */
outcome<std::shared_ptr<const service_state>> find_service(const mesh_state& state,
                                                           const service_name& service,
                                                           std::string_view reason,
                                                           config_version base_version)
{
    auto found = state.find(service);
    if (!found) {
        return failure{failure_code::not_found, fmt::format("no service \"{}\"", service.str())};
    }
    if (reason.empty()) {
        return invalid("an override and its release need a reason");
    }
    const auto& item = found->override_in_force;
    if (item && base_version < item->version) {
        return failure{failure_code::conflict,
                       fmt::format("not seen at version {}: {}", base_version.number,
                                   describe_override(service, *item))};
    }
    return found;
}

commit make_commit(const mesh_state& state, commit_kind kind, const author_name& author,
                   std::string_view reason, calendar_time now)
{
    commit change;
    change.base = state.version();
    change.version = state.version().next();
    change.kind = kind;
    change.author = author;
    change.written_at = now;
    change.reason = reason;
    return change;
}

void restart_move(service_state& service, calendar_time now)
{
    if (service.move && service.move->status == move_status::in_progress) {
        service.weights = service.move->from;
        service.move->started_at = now;
        service.move->reason = "starts again after an override";
    }
}

} // namespace

outcome<commit> plan_override_set(const mesh_state& state, const service_name& service,
                                  std::span<const version_weight> weights,
                                  const author_name& author, std::string_view reason,
                                  calendar_time now, config_version base_version)
{
    const auto found = find_service(state, service, reason, base_version);
    if (!found) {
        return found.reason();
    }
    if (const auto checked = check_weights(weights); !checked) {
        return checked.reason();
    }
    auto change = make_commit(state, commit_kind::override_set, author, reason, now);
    auto next = **found;
    next.override_in_force = manual_override{
        {weights.begin(), weights.end()}, author, std::string{reason}, now, change.version};
    change.upserts.push_back(std::move(next));
    return change;
}

outcome<commit> plan_override_release(const mesh_state& state, const service_name& service,
                                      const author_name& author, std::string_view reason,
                                      calendar_time now, config_version base_version)
{
    const auto found = find_service(state, service, reason, base_version);
    if (!found) {
        return found.reason();
    }
    if (!(*found)->override_in_force) {
        return failure{failure_code::not_found,
                       fmt::format("no override on service \"{}\"", service.str())};
    }
    auto change = make_commit(state, commit_kind::override_released, author, reason, now);
    auto next = **found;
    next.override_in_force.reset();
    restart_move(next, now);
    change.upserts.push_back(std::move(next));
    return change;
}

std::string describe_override(const service_name& service, const manual_override& item)
{
    return fmt::format("override of {} by {} at {} (version {}): {}", service.str(),
                       item.author.str(), format_calendar_time(item.set_at), item.version.number,
                       item.reason);
}

} // namespace savorywheel
