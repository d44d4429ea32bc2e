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

/** @return A report on a change, for people. */
[[nodiscard]] std::string print_report(const change_report& report, std::string_view source);

/** @return Findings, one a line. */
[[nodiscard]] std::string print_findings(std::span<const finding> items, std::string_view source);

/** @return A report on differences, for people. */
[[nodiscard]] std::string print_report(const diff_report& report, std::string_view source);

/** @return A status, for people. */
[[nodiscard]] std::string print_report(const status_report& report);

/** @return A history, for people. */
[[nodiscard]] std::string print_report(const history_report& report);

/** @return Overrides, for people. */
[[nodiscard]] std::string print_report(const override_report& report);

} // namespace savorywheel::ctl

#endif
