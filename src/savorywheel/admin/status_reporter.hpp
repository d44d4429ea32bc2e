#ifndef SAVORYWHEEL_ADMIN_STATUS_REPORTER_HPP
#define SAVORYWHEEL_ADMIN_STATUS_REPORTER_HPP

#include <savorywheel/admin/status_report.hpp>
#include <savorywheel/config/mesh_state.hpp>

namespace savorywheel {

/** @return What operators read about a state. */
[[nodiscard]] status_report make_status_report(const mesh_state& state);

} // namespace savorywheel

#endif
