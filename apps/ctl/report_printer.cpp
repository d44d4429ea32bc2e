#include <savorywheel/admin/service_comparison.hpp>
#include <savorywheel/config/rfc3339_time.hpp>

#include <ctl/report_printer.hpp>
#include <fmt/format.h>

namespace savorywheel::ctl {

namespace {

std::string print_override(const manual_override& item)
{
    return fmt::format("override {} by {} at {} (version {}): {}", describe_weights(item.weights),
                       item.author.str(), format_calendar_time(item.set_at), item.version.number,
                       item.reason);
}

std::string print_names(std::span<const service_name> names)
{
    std::string text;
    for (const auto& name : names) {
        text += ' ' + name.str();
    }
    return text;
}

std::string print_domain(const domain_status& domain)
{
    auto versions = fmt::format("version {}", domain.highest.number);
    if (domain.heard == 0) {
        versions = "version not heard";
    }
    else if (domain.lowest != domain.highest) {
        versions = fmt::format("versions {} to {}", domain.lowest.number, domain.highest.number);
    }
    return fmt::format("  {:<24}{:<18}{} ({} of {} nodes heard)\n", domain.domain.str(),
                       domain.region.str(), versions, domain.heard, domain.nodes);
}

std::string print_service(const service_status& service)
{
    auto text =
        fmt::format("  {:<24}{}\n", service.service.str(), describe_weights(service.weights));
    if (!service.move.empty()) {
        text +=
            fmt::format("    move {}{}: {}\n", service.move,
                        service.due.empty() ? "" : " (due " + service.due + ")", service.reason);
    }
    if (service.override_in_force) {
        text += "    " + print_override(*service.override_in_force) + "\n";
    }
    return text;
}

} // namespace

std::string print_findings(std::span<const finding> items, std::string_view file_name)
{
    std::string text;
    for (const auto& item : items) {
        text += fmt::format("{}:{}:{}: found {}; expected {}\n", file_name, item.place.line,
                            item.place.column, item.found, item.expected);
    }
    return text;
}

std::string print_report(const change_report& report, std::string_view file_name)
{
    auto text = fmt::format("{}", report.outcome);
    if (report.version.number > 0) {
        text += fmt::format(" version {}", report.version.number);
    }
    text += fmt::format(" operation {}", report.operation.str());
    if (!report.reason.empty()) {
        text += ": " + report.reason;
    }
    return text + '\n' + print_findings(report.findings, file_name);
}

std::string print_report(const diff_report& report, std::string_view file_name)
{
    auto text = fmt::format("against version {}\n", report.version.number);
    text += print_findings(report.findings, file_name);
    for (const auto& line : report.domains) {
        text += line + '\n';
    }
    for (const auto& line : report.tenants) {
        text += line + '\n';
    }
    for (const auto& service : report.services) {
        text += fmt::format("service {} {}\n", service.service.str(), service.change);
        for (const auto& detail : service.details) {
            text += "  " + detail + '\n';
        }
        if (service.override_in_force) {
            text += "  stays: " + print_override(*service.override_in_force) + '\n';
        }
    }
    return text;
}

std::string print_report(const status_report& report)
{
    auto text = fmt::format("version {}\nfailure domains\n", report.version.number);
    for (const auto& domain : report.domains) {
        text += print_domain(domain);
    }
    text += "services\n";
    for (const auto& service : report.services) {
        text += print_service(service);
    }
    return text;
}

std::string print_report(const history_report& report)
{
    std::string text;
    for (const auto& entry : report.entries) {
        text += fmt::format("{:>6} {} {} by {}:{}", entry.version.number, entry.written_at,
                            entry.kind, entry.author.str(), print_names(entry.changed));
        if (!entry.removed.empty()) {
            text += fmt::format(" removed:{}", print_names(entry.removed));
        }
        text += entry.reason.empty() ? "\n" : " (" + entry.reason + ")\n";
    }
    return text;
}

std::string print_report(const override_report& report)
{
    if (report.overrides.empty()) {
        return "no override in force\n";
    }
    std::string text;
    for (const auto& entry : report.overrides) {
        text += entry.service.str() + ": " + print_override(entry.item) + '\n';
    }
    return text;
}

} // namespace savorywheel::ctl
