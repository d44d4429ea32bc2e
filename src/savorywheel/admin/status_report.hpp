#ifndef SAVORYWHEEL_ADMIN_STATUS_REPORT_HPP
#define SAVORYWHEEL_ADMIN_STATUS_REPORT_HPP

#include <savorywheel/admin/service_status.hpp>
#include <savorywheel/core/config_version.hpp>

#include <vector>

namespace savorywheel {

/** @brief What operators read about the mesh. */
struct status_report {
    /** @brief Version in force at the node that was asked. */
    config_version version;
    /** @brief Services. */
    std::vector<service_status> services;
};

} // namespace savorywheel

#endif
