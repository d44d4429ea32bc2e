#include <savorywheel/routing/weighted_sampling.hpp>
#include <savorywheel/routing/weighted_version_selection.hpp>

namespace savorywheel {

namespace {

/** Without weights every version is eligible, in proportion to its number of endpoints. */
std::optional<version_name> select_by_endpoint_count(const service_routes& routes,
                                                     random_source& random)
{
    if (routes.endpoints.empty()) {
        return std::nullopt;
    }
    return routes.endpoints[random.below(routes.endpoints.size())].version;
}

} // namespace

std::optional<version_name> select_version_by_weight(std::span<const version_weight> weights,
                                                     const service_routes& routes,
                                                     random_source& random)
{
    if (weights.empty()) {
        return select_by_endpoint_count(routes, random);
    }
    const auto* selected = sample_by_weight(
        weights,
        [&routes](const version_weight& weight) {
            return routes.has_endpoint(weight.version) ? weight.permille : 0;
        },
        random);
    return selected == nullptr ? std::nullopt : std::optional{selected->version};
}

} // namespace savorywheel
