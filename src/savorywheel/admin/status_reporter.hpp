#ifndef SAVORYWHEEL_ADMIN_STATUS_REPORTER_HPP
#define SAVORYWHEEL_ADMIN_STATUS_REPORTER_HPP

#include <savorywheel/admin/override_report.hpp>
#include <savorywheel/admin/status_report.hpp>
#include <savorywheel/config/mesh_state.hpp>

#include <span>

namespace savorywheel {

/**
 * @param state Accepted configuration.
 * @param domains What the node knows of the failure domains.
 * @return What operators read about a state.
 */
[[nodiscard]] status_report make_status_report(const mesh_state& state,
                                               std::span<const domain_status> domains);

/** @return The overrides in force of a state. */
[[nodiscard]] override_report make_override_report(const mesh_state& state);

} // namespace savorywheel

#endif
