#ifndef SAVORYWHEEL_ADMIN_OVERRIDE_REPORT_HPP
#define SAVORYWHEEL_ADMIN_OVERRIDE_REPORT_HPP

#include <savorywheel/admin/override_entry.hpp>
#include <savorywheel/core/config_version.hpp>

#include <vector>

namespace savorywheel {

/** @brief All overrides in force. */
struct override_report {
    /** @brief Version in force at the reporting node. */
    config_version version;
    /** @brief Overrides in the order of service names. */
    std::vector<override_entry> overrides;
};

} // namespace savorywheel

#endif
