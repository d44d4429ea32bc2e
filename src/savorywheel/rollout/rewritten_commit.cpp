#include <savorywheel/rollout/rewritten_commit.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <numeric>
#include <utility>

namespace savorywheel {

namespace {

const service_state* find_upsert(const commit& item, const service_name& name)
{
    const auto found = std::ranges::find_if(
        item.upserts, [&name](const service_state& service) { return service.spec.name == name; });
    return found == item.upserts.end() ? nullptr : &*found;
}

bool sums_to_whole(std::span<const version_weight> weights)
{
    const auto add = [](std::uint64_t sum, const version_weight& item) {
        return sum + item.permille;
    };
    return std::accumulate(weights.begin(), weights.end(), std::uint64_t{0}, add) ==
           weight_sum_permille;
}

bool changes_shares(const rewritten_commit& item, const service_state& found)
{
    const auto* accepted = find_upsert(item.accepted, found.spec.name);
    return accepted == nullptr ||
           !std::ranges::equal(accepted->effective_weights(), found.effective_weights());
}

} // namespace

std::optional<commit> plan_override_for_rewrite(const mesh_state& state,
                                                const rewritten_commit& item, calendar_time now)
{
    commit planned;
    planned.base = state.version();
    planned.version = state.version().next();
    planned.kind = commit_kind::override_set;
    planned.author = author_name{unknown_author};
    planned.written_at = now;
    planned.reason = fmt::format("commit {} was changed in the platform's service",
                                 item.accepted.version.number);
    for (const auto& found : item.stored.upserts) {
        const auto service = state.find(found.spec.name);
        const auto weights = found.effective_weights();
        if (!service || service->override_in_force || !sums_to_whole(weights) ||
            !changes_shares(item, found)) {
            continue;
        }
        auto next = *service;
        next.override_in_force = manual_override{
            {weights.begin(), weights.end()}, planned.author, planned.reason, now, planned.version};
        planned.upserts.push_back(std::move(next));
    }
    return planned.upserts.empty() ? std::nullopt : std::optional{std::move(planned)};
}

} // namespace savorywheel
