#include <savorywheel/admin/admin_status.hpp>
#include <savorywheel/admin/operation_status.hpp>
#include <savorywheel/encoding/codec.hpp>

#include <ctl/response_printer.hpp>
#include <fmt/format.h>

#include <iostream>

namespace savorywheel::ctl {

namespace {

bool has_status(const http_response& response, admin_status status) noexcept
{
    return response.status == static_cast<int>(status);
}

exit_code exit_code_of(const change_report& report)
{
    if (report.outcome == to_string(operation_status::accepted)) {
        return exit_code::done;
    }
    return report.outcome == to_string(operation_status::refused) ? exit_code::refused
                                                                  : exit_code::unknown;
}

} // namespace

exit_code response_printer::print_change(const outcome<http_response>& response,
                                         std::string_view file_name,
                                         std::string_view operation) const
{
    change_report report;
    report.outcome = to_string(operation_status::unknown);
    report.operation = operation_id{operation};
    report.reason = "no valid response from the node";
    if (response) {
        if (has_status(*response, admin_status::forbidden) ||
            has_status(*response, admin_status::bad_request)) {
            return fail(response);
        }
        if (const auto decoded = decode_json<change_report>(response->body)) {
            report = *decoded;
        }
    }
    std::cout << (output_ == output_format::json ? encode_json(report) + '\n'
                                                 : print_report(report, file_name));
    const auto code = exit_code_of(report);
    if (code == exit_code::unknown) {
        std::cerr << fmt::format("to find out whether the change was accepted, run: "
                                 "savorywheelctl settle {}\n",
                                 operation);
    }
    return code;
}

exit_code response_printer::print_check(const outcome<http_response>& response,
                                        std::string_view file_name) const
{
    if (!response || !has_status(*response, admin_status::ok)) {
        return fail(response);
    }
    const auto report = decode_json<diff_report>(response->body);
    if (!report) {
        return fail(response);
    }
    if (output_ == output_format::json) {
        std::cout << response->body << '\n';
    }
    else {
        std::cout << print_findings(report->findings, file_name)
                  << (report->findings.empty() ? "no findings\n" : "");
    }
    return report->findings.empty() ? exit_code::done : exit_code::refused;
}

exit_code response_printer::print_diff(const outcome<http_response>& response,
                                       std::string_view file_name) const
{
    if (!response || !has_status(*response, admin_status::ok)) {
        return fail(response);
    }
    const auto report = decode_json<diff_report>(response->body);
    if (!report) {
        return fail(response);
    }
    std::cout << (output_ == output_format::json ? response->body + '\n'
                                                 : print_report(*report, file_name));
    return report->findings.empty() ? exit_code::done : exit_code::refused;
}

exit_code response_printer::print_body(const outcome<http_response>& response) const
{
    if (!response || !has_status(*response, admin_status::ok)) {
        return fail(response);
    }
    std::cout << response->body;
    return exit_code::done;
}

template<typename Report>
exit_code response_printer::print_query_result(const outcome<http_response>& response) const
{
    if (!response || !has_status(*response, admin_status::ok)) {
        return fail(response);
    }
    const auto report = decode_json<Report>(response->body);
    if (!report) {
        return fail(response);
    }
    std::cout << (output_ == output_format::json ? response->body + '\n' : print_report(*report));
    return exit_code::done;
}

template exit_code
response_printer::print_query_result<status_report>(const outcome<http_response>& response) const;
template exit_code
response_printer::print_query_result<history_report>(const outcome<http_response>& response) const;
template exit_code
response_printer::print_query_result<override_report>(const outcome<http_response>& response) const;

exit_code response_printer::fail(const outcome<http_response>& response) const
{
    const auto reason = response ? response->body : response.reason().message + "\n";
    std::cerr << "failed: " << reason;
    if (!response) {
        return exit_code::failed;
    }
    if (has_status(*response, admin_status::forbidden)) {
        return exit_code::forbidden;
    }
    return has_status(*response, admin_status::bad_request) ? exit_code::usage : exit_code::failed;
}

} // namespace savorywheel::ctl
