#include <savorywheel/routing/nearest_endpoint_chooser.hpp>

#include <algorithm>
#include <array>
#include <vector>

namespace savorywheel {

const route_endpoint* nearest_endpoint_chooser::choose(std::span<const route_endpoint> endpoints,
                                                       const version_name& version,
                                                       std::span<const node_id> tried)
{
    constexpr std::size_t groups = 3;
    std::array<std::vector<const route_endpoint*>, groups> free;
    std::vector<const route_endpoint*> all;
    for (const auto& endpoint : endpoints) {
        if (endpoint.version != version || std::ranges::find(tried, endpoint.node) != tried.end()) {
            continue;
        }
        all.push_back(&endpoint);
        if (loads_.outstanding(endpoint.node) < endpoint.slots) {
            free[static_cast<std::size_t>(distance_to(endpoint))].push_back(&endpoint);
        }
    }
    for (const auto& group : free) {
        if (!group.empty()) {
            return less_loaded(group);
        }
    }
    return less_loaded(all);
}

nearest_endpoint_chooser::distance
nearest_endpoint_chooser::distance_to(const route_endpoint& endpoint) const noexcept
{
    if (endpoint.domain == domain_) {
        return distance::same_domain;
    }
    return endpoint.region == region_ ? distance::same_region : distance::other_region;
}

const route_endpoint*
nearest_endpoint_chooser::less_loaded(std::span<const route_endpoint* const> group)
{
    if (group.empty()) {
        return nullptr;
    }
    const auto* first = group[random_.below(group.size())];
    const auto* second = group[random_.below(group.size())];
    return loads_.outstanding(second->node) < loads_.outstanding(first->node) ? second : first;
}

} // namespace savorywheel
