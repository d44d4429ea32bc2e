#include <savorywheel/routing/service_routes.hpp>

#include <algorithm>

namespace savorywheel {

namespace {

bool matches(std::string_view prefix, std::string_view path) noexcept
{
    if (!path.starts_with(prefix)) {
        return false;
    }
    return path.size() == prefix.size() || prefix.ends_with('/') || path[prefix.size()] == '/' ||
           path[prefix.size()] == '?';
}

} // namespace

const route_spec* service_routes::match(std::string_view path) const noexcept
{
    const route_spec* best = nullptr;
    for (const auto& route : state->spec.routes) {
        if (matches(route.path, path) &&
            (best == nullptr || route.path.size() > best->path.size())) {
            best = &route;
        }
    }
    return best;
}

bool service_routes::has_endpoint(const version_name& version) const noexcept
{
    return std::ranges::any_of(
        endpoints, [&version](const route_endpoint& item) { return item.version == version; });
}

} // namespace savorywheel
