#include <savorywheel/routing/service_routes.hpp>

#include <algorithm>

namespace savorywheel {

bool service_routes::has_endpoint(const version_name& version) const noexcept
{
    return std::ranges::any_of(
        endpoints, [&version](const route_endpoint& item) { return item.version == version; });
}

} // namespace savorywheel
