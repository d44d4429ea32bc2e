#ifndef SAVORYWHEEL_ADMIN_DIFF_REPORT_HPP
#define SAVORYWHEEL_ADMIN_DIFF_REPORT_HPP

#include <savorywheel/admin/service_difference.hpp>
#include <savorywheel/core/config_version.hpp>
#include <savorywheel/core/finding.hpp>

#include <string>
#include <vector>

namespace savorywheel {

/** @brief What a text would change. */
struct diff_report {
    /** @brief Version that the text was compared with. */
    config_version version;
    /** @brief Faults and conflicts for which the text would be refused. */
    std::vector<finding> findings;
    /** @brief One sentence per changed failure domain. */
    std::vector<std::string> domains;
    /** @brief Services that change, and those under an override. */
    std::vector<service_difference> services;
};

} // namespace savorywheel

#endif
