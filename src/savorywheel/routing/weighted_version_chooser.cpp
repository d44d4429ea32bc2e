#include <savorywheel/routing/weighted_choice.hpp>
#include <savorywheel/routing/weighted_version_chooser.hpp>

namespace savorywheel {

std::optional<version_name> weighted_version_chooser::choose(const service_routes& routes)
{
    return choose_by_weight(routes.state->effective_weights(), routes, random_);
}

} // namespace savorywheel
