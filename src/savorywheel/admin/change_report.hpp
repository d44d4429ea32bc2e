#ifndef SAVORYWHEEL_ADMIN_CHANGE_REPORT_HPP
#define SAVORYWHEEL_ADMIN_CHANGE_REPORT_HPP

#include <savorywheel/core/config_version.hpp>
#include <savorywheel/core/finding.hpp>
#include <savorywheel/core/names.hpp>

#include <string>
#include <vector>

namespace savorywheel {

/** @brief Outcome of a change that an operator requested. */
struct change_report {
    /** @brief "accepted", "refused" or "unknown". */
    std::string outcome;
    /** @brief Version of the accepted commit; zero otherwise. */
    config_version version;
    /** @brief Identifies the change, for example to settle it. */
    operation_id operation;
    /** @brief Why the change was refused, why its outcome is unknown, or a remark. */
    std::string reason;
    /** @brief Errors and conflicts of the text. */
    std::vector<finding> findings;
};

} // namespace savorywheel

#endif
