#include <savorywheel/routing/weighted_choice.hpp>

#include <vector>

namespace savorywheel {

namespace {

/** Without shares every version serves, each as often as it has backend servers. */
std::optional<version_name> choose_any(const service_routes& routes, random_source& random)
{
    if (routes.endpoints.empty()) {
        return std::nullopt;
    }
    return routes.endpoints[random.below(routes.endpoints.size())].version;
}

} // namespace

std::optional<version_name> choose_by_weight(std::span<const version_weight> weights,
                                             const service_routes& routes, random_source& random)
{
    if (weights.empty()) {
        return choose_any(routes, random);
    }
    std::vector<const version_weight*> candidates;
    std::uint64_t sum = 0;
    for (const auto& weight : weights) {
        if (weight.permille > 0 && routes.has_endpoint(weight.version)) {
            candidates.push_back(&weight);
            sum += weight.permille;
        }
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    auto draw = random.below(sum);
    for (const auto* weight : candidates) {
        if (draw < weight->permille) {
            return weight->version;
        }
        draw -= weight->permille;
    }
    return candidates.back()->version;
}

} // namespace savorywheel
