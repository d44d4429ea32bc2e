#include <savorywheel/rollout/move_shares.hpp>
#include <savorywheel/routing/canary_set.hpp>

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <utility>
#include <vector>

namespace savorywheel {

namespace {

/** Failures at a single backend server are not attributed to its version. */
constexpr std::size_t min_canaries = 2;

using ranked_endpoint = std::pair<std::uint64_t, route_endpoint*>;

std::size_t canary_count(std::size_t endpoints, std::uint32_t share, std::uint32_t target)
{
    const auto needed = (endpoints * share + target - 1) / target;
    return std::clamp(needed, std::min(min_canaries, endpoints), endpoints);
}

std::vector<ranked_endpoint> rank_endpoints(const version_name& version,
                                            std::span<route_endpoint> endpoints)
{
    std::vector<ranked_endpoint> ranked;
    for (auto& endpoint : endpoints) {
        if (endpoint.version == version) {
            const auto& id = endpoint.node.str();
            ranked.emplace_back(XXH3_64bits(id.data(), id.size()), &endpoint);
        }
    }
    std::ranges::sort(ranked);
    return ranked;
}

} // namespace

void mark_standby_endpoints(const service_state& service, std::span<route_endpoint> endpoints)
{
    if (!service.move || service.override_in_force ||
        service.move->status != move_status::in_progress) {
        return;
    }
    for (const auto& target : service.move->to) {
        if (!gains_share(*service.move, target.version)) {
            continue;
        }
        const auto ranked = rank_endpoints(target.version, endpoints);
        const auto share = share_of(service.weights, target.version);
        const auto count = canary_count(ranked.size(), share, target.permille);
        for (const auto& [rank, endpoint] : std::span{ranked}.subspan(count)) {
            endpoint->standby = true;
        }
    }
}

} // namespace savorywheel
