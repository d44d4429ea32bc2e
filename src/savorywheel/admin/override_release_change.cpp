#include <savorywheel/admin/override_planner.hpp>
#include <savorywheel/admin/override_release_change.hpp>

#include <utility>

namespace savorywheel {

override_release_change::override_release_change(service_name service, override_request wanted,
                                                 change_ticket ticket)
    : service_{std::move(service)}, wanted_{std::move(wanted)}, ticket_{std::move(ticket)}
{
}

outcome<commit> override_release_change::plan(const mesh_state& state, calendar_time now,
                                              findings& /*report*/) const
{
    return plan_override_release(state, service_, ticket_.author, wanted_.reason, now,
                                 ticket_.seen.value_or(config_version{}));
}

} // namespace savorywheel
