#include <savorywheel/admin/override_planner.hpp>
#include <savorywheel/admin/override_release_change.hpp>

#include <utility>

namespace savorywheel {

override_release_change::override_release_change(service_name service, override_request desired,
                                                 change_metadata metadata)
    : service_{std::move(service)}, desired_{std::move(desired)}, metadata_{std::move(metadata)}
{
}

outcome<commit> override_release_change::plan(const mesh_state& state, calendar_time now,
                                              findings& /*report*/) const
{
    return plan_override_release(state, service_, metadata_.author, desired_.reason, now,
                                 metadata_.base_version.value_or(config_version{}));
}

} // namespace savorywheel
