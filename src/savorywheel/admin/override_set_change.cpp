#include <savorywheel/admin/override_planner.hpp>
#include <savorywheel/admin/override_set_change.hpp>

#include <utility>

namespace savorywheel {

override_set_change::override_set_change(service_name service, override_request wanted,
                                         change_ticket ticket)
    : service_{std::move(service)}, wanted_{std::move(wanted)}, ticket_{std::move(ticket)}
{
}

outcome<commit> override_set_change::plan(const mesh_state& state, calendar_time now,
                                          findings& /*report*/) const
{
    return plan_override_set(state, service_, wanted_.weights, ticket_.author, wanted_.reason, now,
                             ticket_.seen.value_or(config_version{}));
}

} // namespace savorywheel
