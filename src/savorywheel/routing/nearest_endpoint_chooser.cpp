#include <savorywheel/routing/nearest_endpoint_chooser.hpp>

#include <algorithm>
#include <array>
#include <vector>

namespace savorywheel {

namespace {

/** A warming backend server is assumed to have this fraction of its slots. */
constexpr std::uint32_t warming_divisor = 4;

} // namespace

const route_endpoint* nearest_endpoint_chooser::choose(std::span<const route_endpoint> endpoints,
                                                       const version_name& version,
                                                       std::span<const node_id> tried,
                                                       std::size_t bytes)
{
    std::vector<const route_endpoint*> trusted;
    std::vector<const route_endpoint*> all;
    for (const auto& endpoint : endpoints) {
        if (endpoint.version != version || std::ranges::find(tried, endpoint.node) != tried.end()) {
            continue;
        }
        all.push_back(&endpoint);
        if (!environment_.health.avoided(endpoint.node)) {
            trusted.push_back(&endpoint);
        }
    }
    if (const auto* best = cheapest(trusted, bytes)) {
        return best;
    }
    if (const auto* near = nearest_free(trusted)) {
        return near;
    }
    return less_loaded(trusted.empty() ? all : trusted);
}

const route_endpoint* nearest_endpoint_chooser::nearest_free(group candidates)
{
    constexpr std::size_t distances = 3;
    std::array<std::vector<const route_endpoint*>, distances> free;
    for (const auto* endpoint : candidates) {
        if (has_capacity(*endpoint)) {
            free[static_cast<std::size_t>(distance_to(*endpoint))].push_back(endpoint);
        }
    }
    const auto nearest =
        std::ranges::find_if(free, [](const auto& endpoints) { return !endpoints.empty(); });
    return nearest == free.end() ? nullptr : less_loaded(*nearest);
}

const route_endpoint* nearest_endpoint_chooser::cheapest(group candidates, std::size_t bytes)
{
    const auto typical = typical_service_time(candidates);
    if (typical == duration::zero()) {
        return nullptr;
    }
    const auto now = environment_.time.now();
    const route_endpoint* best = nullptr;
    duration least{};
    for (const auto* endpoint : candidates) {
        const auto known = environment_.loads.service_time(endpoint->node);
        const endpoint_cost cost{distance_to(*endpoint),
                                 endpoint->slots,
                                 environment_.loads.expected_calls(endpoint->node, now),
                                 known == duration::zero() ? typical : known,
                                 bytes,
                                 endpoint->state == server_state::warming};
        auto total = cost.total();
        if (environment_.health.full(endpoint->node)) {
            total += cost.service_time;
        }
        if (best == nullptr || total < least) {
            best = endpoint;
            least = total;
        }
    }
    return best;
}

/** Service time assumed for endpoints without a report; optimistic, so that they are tried. */
duration nearest_endpoint_chooser::typical_service_time(group candidates) const
{
    duration least{};
    for (const auto* endpoint : candidates) {
        const auto known = environment_.loads.service_time(endpoint->node);
        if (known > duration::zero() && (least == duration::zero() || known < least)) {
            least = known;
        }
    }
    return least;
}

endpoint_distance
nearest_endpoint_chooser::distance_to(const route_endpoint& endpoint) const noexcept
{
    if (endpoint.domain == domain_) {
        return endpoint_distance::same_domain;
    }
    return endpoint.region == region_ ? endpoint_distance::same_region
                                      : endpoint_distance::other_region;
}

bool nearest_endpoint_chooser::has_capacity(const route_endpoint& endpoint) const
{
    const auto slots = endpoint.state == server_state::warming
                           ? std::max(endpoint.slots / warming_divisor, 1U)
                           : endpoint.slots;
    return !environment_.health.full(endpoint.node) &&
           environment_.loads.outstanding(endpoint.node) < slots;
}

double nearest_endpoint_chooser::load_of(const route_endpoint& endpoint)
{
    return (environment_.loads.outstanding(endpoint.node) + 1) /
           environment_.health.weight(endpoint.node);
}

const route_endpoint* nearest_endpoint_chooser::less_loaded(group candidates)
{
    if (candidates.empty()) {
        return nullptr;
    }
    if (candidates.size() == 1) {
        return candidates.front();
    }
    const auto position = environment_.random.below(candidates.size());
    const auto step = 1 + environment_.random.below(candidates.size() - 1);
    const auto* first = candidates[position];
    const auto* second = candidates[(position + step) % candidates.size()];
    return load_of(*second) < load_of(*first) ? second : first;
}

} // namespace savorywheel
