#include <savorywheel/routing/ejecting_version_chooser.hpp>
#include <savorywheel/routing/weighted_choice.hpp>

namespace savorywheel {

std::optional<version_name> ejecting_version_chooser::choose(const service_routes& routes)
{
    const auto& service = *routes.state;
    if (service.move && !service.override_in_force &&
        service.move->status != move_status::withdrawn &&
        ejections_.ejected(service.spec.name, service.move->asked_at)) {
        if (auto version = choose_by_weight(service.move->from, routes, random_)) {
            return version;
        }
    }
    return inner_.choose(routes);
}

} // namespace savorywheel
