#include <savorywheel/routing/weighted_choice.hpp>
#include <savorywheel/routing/weighted_draw.hpp>

namespace savorywheel {

namespace {

/** Without weights every version is eligible, in proportion to its number of endpoints. */
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
    const auto* drawn = draw_by_weight(
        weights,
        [&routes](const version_weight& weight) {
            return routes.has_endpoint(weight.version) ? weight.permille : 0;
        },
        random);
    return drawn == nullptr ? std::nullopt : std::optional{drawn->version};
}

} // namespace savorywheel
