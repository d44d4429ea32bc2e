#ifndef SAVORYWHEEL_ADMIN_CHANGE_REPORT_HPP
#define SAVORYWHEEL_ADMIN_CHANGE_REPORT_HPP

#include <savorywheel/core/config_version.hpp>
#include <savorywheel/core/finding.hpp>
#include <savorywheel/core/names.hpp>

#include <string>
#include <vector>

namespace savorywheel {

/** @brief What became of a change that an operator asked for. */
struct change_report {
    /** @brief "accepted", "refused" or "unknown". */
    std::string outcome;
    /** @brief Version of the accepted commit; zero otherwise. */
    config_version version;
    /** @brief Names the attempt. */
    operation_id operation;
    /** @brief Why it was refused, or is unknown. */
    std::string reason;
    /** @brief Faults of the text. */
    std::vector<finding> findings;
};

} // namespace savorywheel

#endif
