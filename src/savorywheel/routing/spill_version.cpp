#include <savorywheel/routing/spill_version.hpp>
#include <savorywheel/routing/weighted_choice.hpp>

namespace savorywheel {

std::optional<version_name> spill_version(const service_routes& routes, random_source& random)
{
    const auto& service = *routes.state;
    if (!service.move || service.override_in_force ||
        service.move->status != move_status::in_progress) {
        return std::nullopt;
    }
    return choose_by_weight(service.move->from, routes, random);
}

} // namespace savorywheel
