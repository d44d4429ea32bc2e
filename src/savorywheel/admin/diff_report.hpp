#ifndef SAVORYWHEEL_ADMIN_DIFF_REPORT_HPP
#define SAVORYWHEEL_ADMIN_DIFF_REPORT_HPP

#include <savorywheel/admin/service_difference.hpp>
#include <savorywheel/core/config_version.hpp>
#include <savorywheel/core/finding.hpp>

#include <string>
#include <vector>

namespace savorywheel {

/** @brief Changes that applying a configuration text would make. */
struct diff_report {
    /** @brief Version of the state that the text was compared with. */
    config_version version;
    /** @brief Errors and conflicts for which the text would be refused. */
    std::vector<finding> findings;
    /** @brief One line per changed failure domain. */
    std::vector<std::string> domains;
    /** @brief Services that change or have an override in force. */
    std::vector<service_difference> services;
    /** @brief One line per changed tenant; no line contains a key. */
    std::vector<std::string> tenants;
};

} // namespace savorywheel

#endif
