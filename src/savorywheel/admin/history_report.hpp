#ifndef SAVORYWHEEL_ADMIN_HISTORY_REPORT_HPP
#define SAVORYWHEEL_ADMIN_HISTORY_REPORT_HPP

#include <savorywheel/admin/history_entry.hpp>

#include <vector>

namespace savorywheel {

/** @brief The latest accepted changes. */
struct history_report {
    /** @brief Changes in the order of their versions. */
    std::vector<history_entry> entries;
};

} // namespace savorywheel

#endif
