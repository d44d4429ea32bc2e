#ifndef SAVORYWHEEL_ADMIN_STATUS_REPORT_HPP
#define SAVORYWHEEL_ADMIN_STATUS_REPORT_HPP

#include <savorywheel/admin/domain_status.hpp>
#include <savorywheel/admin/service_status.hpp>
#include <savorywheel/core/config_version.hpp>

#include <vector>

namespace savorywheel {

/** @brief What operators read about the mesh. */
struct status_report {
    /** @brief Version in force at the node that was asked. */
    config_version version;
    /** @brief Failure domains of the members that the node knows. */
    std::vector<domain_status> domains;
    /** @brief Services. */
    std::vector<service_status> services;
};

} // namespace savorywheel

#endif
