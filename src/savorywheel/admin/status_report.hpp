#ifndef SAVORYWHEEL_ADMIN_STATUS_REPORT_HPP
#define SAVORYWHEEL_ADMIN_STATUS_REPORT_HPP

#include <savorywheel/admin/domain_status.hpp>
#include <savorywheel/admin/service_status.hpp>
#include <savorywheel/core/config_version.hpp>

#include <vector>

namespace savorywheel {

/** @brief Status of the mesh, as shown to operators. */
struct status_report {
    /** @brief Version in force at the reporting node. */
    config_version version;
    /** @brief Failure domains of the members known to the node. */
    std::vector<domain_status> domains;
    std::vector<service_status> services;
};

} // namespace savorywheel

#endif
