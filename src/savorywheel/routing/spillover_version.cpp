#include <savorywheel/routing/spillover_version.hpp>
#include <savorywheel/routing/weighted_version_selection.hpp>

namespace savorywheel {

std::optional<version_name> spillover_version(const service_routes& routes, random_source& random)
{
    const auto& service = *routes.state;
    if (!service.move || service.override_in_force ||
        service.move->status != move_status::in_progress) {
        return std::nullopt;
    }
    return select_version_by_weight(service.move->from, routes, random);
}

} // namespace savorywheel
