#ifndef SAVORYWHEEL_ADMIN_STATUS_REPORTER_HPP
#define SAVORYWHEEL_ADMIN_STATUS_REPORTER_HPP

#include <savorywheel/admin/override_report.hpp>
#include <savorywheel/admin/status_report.hpp>
#include <savorywheel/config/mesh_state.hpp>

#include <span>

namespace savorywheel {

/**
 * @brief Creates the status of the mesh that is shown to operators.
 * @param state Accepted configuration.
 * @param domains Configuration versions in the failure domains, as known to this node.
 */
[[nodiscard]] status_report make_status_report(const mesh_state& state,
                                               std::span<const domain_status> domains);

/** @brief Lists the overrides in force in a state. */
[[nodiscard]] override_report make_override_report(const mesh_state& state);

} // namespace savorywheel

#endif
