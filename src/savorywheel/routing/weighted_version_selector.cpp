#include <savorywheel/routing/weighted_version_selection.hpp>
#include <savorywheel/routing/weighted_version_selector.hpp>

namespace savorywheel {

std::optional<version_name> weighted_version_selector::select(const service_routes& routes)
{
    return select_version_by_weight(routes.state->effective_weights(), routes, random_);
}

} // namespace savorywheel
