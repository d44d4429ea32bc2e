#include <savorywheel/routing/locality_endpoint_selector.hpp>

#include <algorithm>
#include <array>
#include <vector>

namespace savorywheel {

namespace {

/** A warming backend server is assumed to have this fraction of its slots. */
constexpr std::uint32_t warming_divisor = 4;
/** One call in so many to a version under rollout goes to a standby endpoint, so that each of its
 * backend servers is tried before it has its full load. */
constexpr std::uint64_t standby_call_interval = 16;

} // namespace

const route_endpoint* locality_endpoint_selector::select(std::span<const route_endpoint> endpoints,
                                                         const version_name& version,
                                                         std::span<const node_id> tried,
                                                         const call_profile& call)
{
    const bool to_standby = selects_standby(endpoints, version);
    std::vector<const route_endpoint*> available;
    std::vector<const route_endpoint*> all;
    for (const auto& endpoint : endpoints) {
        if (endpoint.version != version || endpoint.standby != to_standby ||
            std::ranges::find(tried, endpoint.node) != tried.end()) {
            continue;
        }
        all.push_back(&endpoint);
        if (!environment_.health.is_excluded(endpoint.node)) {
            available.push_back(&endpoint);
        }
    }
    if (const auto* best = select_least_cost(available, call)) {
        return best;
    }
    if (const auto* nearest_endpoint = select_nearest_with_capacity(available)) {
        return nearest_endpoint;
    }
    return select_less_loaded(available.empty() ? all : available);
}

bool locality_endpoint_selector::selects_standby(std::span<const route_endpoint> endpoints,
                                                 const version_name& version)
{
    const bool any = std::ranges::any_of(endpoints, [&version](const route_endpoint& endpoint) {
        return endpoint.standby && endpoint.version == version;
    });
    return any && environment_.random.below(standby_call_interval) == 0;
}

const route_endpoint*
locality_endpoint_selector::select_nearest_with_capacity(endpoint_pointers candidates)
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
    return nearest == free.end() ? nullptr : select_less_loaded(*nearest);
}

const route_endpoint* locality_endpoint_selector::select_least_cost(endpoint_pointers candidates,
                                                                    const call_profile& call)
{
    const auto default_service_time = least_reported_service_time(candidates);
    if (default_service_time == duration::zero()) {
        return nullptr;
    }
    const auto now = environment_.time.now();
    const route_endpoint* best = nullptr;
    duration lowest{};
    for (const auto* endpoint : candidates) {
        const auto reported = environment_.loads.service_time(endpoint->node);
        const endpoint_cost cost{distance_to(*endpoint),
                                 endpoint->slots,
                                 environment_.loads.expected_calls(endpoint->node, now),
                                 reported == duration::zero() ? default_service_time : reported,
                                 call.bytes,
                                 endpoint->state == server_state::warming,
                                 call.target_remaining};
        auto total = cost.total();
        if (environment_.health.at_capacity(endpoint->node)) {
            total += cost.service_time;
        }
        if (best == nullptr || total < lowest) {
            best = endpoint;
            lowest = total;
        }
    }
    return best;
}

/** Service time assumed for endpoints without a report; optimistic, so that they are tried. */
duration locality_endpoint_selector::least_reported_service_time(endpoint_pointers candidates) const
{
    duration lowest{};
    for (const auto* endpoint : candidates) {
        const auto reported = environment_.loads.service_time(endpoint->node);
        if (reported > duration::zero() && (lowest == duration::zero() || reported < lowest)) {
            lowest = reported;
        }
    }
    return lowest;
}

endpoint_distance
locality_endpoint_selector::distance_to(const route_endpoint& endpoint) const noexcept
{
    if (endpoint.domain == domain_) {
        return endpoint_distance::same_domain;
    }
    return endpoint.region == region_ ? endpoint_distance::same_region
                                      : endpoint_distance::other_region;
}

bool locality_endpoint_selector::has_capacity(const route_endpoint& endpoint) const
{
    const auto slots = endpoint.state == server_state::warming
                           ? std::max(endpoint.slots / warming_divisor, 1U)
                           : endpoint.slots;
    return !environment_.health.at_capacity(endpoint.node) &&
           environment_.loads.in_flight(endpoint.node) < slots;
}

double locality_endpoint_selector::load_of(const route_endpoint& endpoint)
{
    return (environment_.loads.in_flight(endpoint.node) + 1) /
           environment_.health.slow_start_weight(endpoint.node);
}

const route_endpoint* locality_endpoint_selector::select_less_loaded(endpoint_pointers candidates)
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
