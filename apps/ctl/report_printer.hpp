#ifndef SAVORYWHEEL_APPS_CTL_REPORT_PRINTER_HPP
#define SAVORYWHEEL_APPS_CTL_REPORT_PRINTER_HPP

#include <savorywheel/admin/change_report.hpp>
#include <savorywheel/admin/diff_report.hpp>
#include <savorywheel/admin/history_report.hpp>
#include <savorywheel/admin/override_report.hpp>
#include <savorywheel/admin/status_report.hpp>

#include <span>
#include <string>
#include <string_view>

namespace savorywheel::ctl {

/** @return Outcome of a change as text, with findings prefixed by @p file_name. */
[[nodiscard]] std::string print_report(const change_report& report, std::string_view file_name);

/** @return Findings, one per line, as source:line:column. */
[[nodiscard]] std::string print_findings(std::span<const finding> items,
                                         std::string_view file_name);

/** @return Differences as text, with findings prefixed by @p file_name. */
[[nodiscard]] std::string print_report(const diff_report& report, std::string_view file_name);

/** @return Status of failure domains and services as text. */
[[nodiscard]] std::string print_report(const status_report& report);

/** @return Accepted changes as text, one per line. */
[[nodiscard]] std::string print_report(const history_report& report);

/** @return Overrides in force as text, one per line. */
[[nodiscard]] std::string print_report(const override_report& report);

} // namespace savorywheel::ctl

#endif
