#include <savorywheel/routing/ejection_aware_version_selector.hpp>
#include <savorywheel/routing/weighted_version_selection.hpp>

namespace savorywheel {

std::optional<version_name> ejection_aware_version_selector::select(const service_routes& routes)
{
    const auto& service = *routes.state;
    if (service.move && !service.override_in_force &&
        service.move->status != move_status::withdrawn &&
        ejections_.ejected(service.spec.name, service.move->asked_at)) {
        if (auto version = select_version_by_weight(service.move->from, routes, random_)) {
            return version;
        }
    }
    return inner_.select(routes);
}

} // namespace savorywheel
