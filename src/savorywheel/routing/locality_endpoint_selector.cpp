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
/** Costs that differ by less than 1/64 are equal within the accuracy of the estimates. */
constexpr int margin_divisor = 64;

/** Service time assumed for endpoints without a report; optimistic, so that they are tried. */
duration least_reported_service_time(std::span<const endpoint_candidate> candidates)
{
    duration lowest{};
    for (const auto& candidate : candidates) {
        const auto reported = candidate.load.service_time;
        if (reported > duration::zero() && (lowest == duration::zero() || reported < lowest)) {
            lowest = reported;
        }
    }
    return lowest;
}

/** Slowness assumed for endpoints without a report, for the same reason. */
double least_slowness(std::span<const endpoint_candidate> candidates)
{
    double lowest = 1.0;
    for (const auto& candidate : candidates) {
        lowest = std::min(lowest, candidate.load.slowness);
    }
    return lowest;
}

} // namespace

const route_endpoint* locality_endpoint_selector::select(std::span<const route_endpoint> endpoints,
                                                         const version_name& version,
                                                         std::span<const node_id> tried,
                                                         const call_profile& call)
{
    const bool to_standby = selects_standby(endpoints, version);
    std::vector<endpoint_candidate> all;
    all.reserve(endpoints.size());
    for (const auto& endpoint : endpoints) {
        if (endpoint.version == version && endpoint.standby == to_standby &&
            std::ranges::find(tried, endpoint.node) == tried.end()) {
            all.push_back({&endpoint});
        }
    }
    environment_.health.read(all);
    environment_.loads.read(all, environment_.time.now());
    const auto first_excluded =
        std::stable_partition(all.begin(), all.end(), [](const auto& candidate) {
            return candidate.standing != endpoint_standing::excluded;
        });
    const candidate_span available{all.begin(), first_excluded};
    if (const auto* best = select_least_cost(available, call)) {
        return best;
    }
    if (const auto* nearest_endpoint = select_nearest_with_capacity(available)) {
        return nearest_endpoint;
    }
    return select_less_loaded(available.empty() ? candidate_span{all} : available);
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
locality_endpoint_selector::select_nearest_with_capacity(candidate_span candidates)
{
    constexpr std::size_t distances = 3;
    std::array<std::vector<endpoint_candidate>, distances> free;
    for (const auto& candidate : candidates) {
        if (has_capacity(candidate)) {
            free[static_cast<std::size_t>(distance_to(*candidate.endpoint))].push_back(candidate);
        }
    }
    const auto nearest =
        std::ranges::find_if(free, [](const auto& endpoints) { return !endpoints.empty(); });
    return nearest == free.end() ? nullptr : select_less_loaded(*nearest);
}

const route_endpoint* locality_endpoint_selector::select_least_cost(candidate_span candidates,
                                                                    const call_profile& call)
{
    const auto default_service_time = least_reported_service_time(candidates);
    if (default_service_time == duration::zero()) {
        return nullptr;
    }
    const auto default_slowness = least_slowness(candidates);
    const bool by_work = std::ranges::any_of(
        candidates, [](const auto& candidate) { return candidate.load.reports_work; });
    for (auto& candidate : candidates) {
        const auto& endpoint = *candidate.endpoint;
        const auto& load = candidate.load;
        endpoint_cost cost{distance_to(endpoint),
                           endpoint.slots,
                           load.calls,
                           load.service_time == duration::zero() ? default_service_time
                                                                 : load.service_time,
                           call.bytes,
                           endpoint.state == server_state::warming,
                           call.target_remaining};
        if (by_work) {
            cost.by_work = true;
            cost.work = load.work;
            if (call.work.mean > duration::zero()) {
                cost.service_time = std::chrono::duration_cast<duration>(
                    call.work.mean *
                    (load.service_time == duration::zero() ? default_slowness : load.slowness));
                cost.spread = call.work.spread;
            }
        }
        candidate.cost = cost.total();
        if (candidate.standing == endpoint_standing::at_capacity) {
            candidate.cost += cost.service_time;
        }
    }
    return by_work ? select_near_least(candidates)
                   : std::ranges::min_element(candidates, {}, &endpoint_candidate::cost)->endpoint;
}

const route_endpoint* locality_endpoint_selector::select_near_least(candidate_span candidates)
{
    const auto lowest = std::ranges::min(candidates, {}, &endpoint_candidate::cost).cost;
    const auto limit = lowest + lowest / margin_divisor;
    const auto is_near = [limit](const auto& candidate) { return candidate.cost <= limit; };
    auto skipped = environment_.random.below(
        static_cast<std::uint64_t>(std::ranges::count_if(candidates, is_near)));
    return std::ranges::find_if(
               candidates,
               [&](const auto& candidate) { return is_near(candidate) && skipped-- == 0; })
        ->endpoint;
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

bool locality_endpoint_selector::has_capacity(const endpoint_candidate& candidate)
{
    const auto& endpoint = *candidate.endpoint;
    const auto slots = endpoint.state == server_state::warming
                           ? std::max(endpoint.slots / warming_divisor, 1U)
                           : endpoint.slots;
    return candidate.standing != endpoint_standing::at_capacity && candidate.load.in_flight < slots;
}

double locality_endpoint_selector::load_of(const endpoint_candidate& candidate)
{
    return (candidate.load.in_flight + 1) /
           environment_.health.slow_start_weight(candidate.endpoint->node);
}

const route_endpoint* locality_endpoint_selector::select_less_loaded(candidate_span candidates)
{
    if (candidates.empty()) {
        return nullptr;
    }
    if (candidates.size() == 1) {
        return candidates.front().endpoint;
    }
    const auto position = environment_.random.below(candidates.size());
    const auto step = 1 + environment_.random.below(candidates.size() - 1);
    const auto& first = candidates[position];
    const auto& second = candidates[(position + step) % candidates.size()];
    return (load_of(second) < load_of(first) ? second : first).endpoint;
}

} // namespace savorywheel
