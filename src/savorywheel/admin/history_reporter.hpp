#ifndef SAVORYWHEEL_ADMIN_HISTORY_REPORTER_HPP
#define SAVORYWHEEL_ADMIN_HISTORY_REPORTER_HPP

#include <savorywheel/admin/history_report.hpp>
#include <savorywheel/config/commit.hpp>

#include <deque>

namespace savorywheel {

/** @brief Creates the history shown to operators; keeps the order of the commits. */
[[nodiscard]] history_report make_history_report(const std::deque<commit>& commits);

} // namespace savorywheel

#endif
