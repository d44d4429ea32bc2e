#ifndef SAVORYWHEEL_APPS_CTL_RESPONSE_PRINTER_HPP
#define SAVORYWHEEL_APPS_CTL_RESPONSE_PRINTER_HPP

#include <savorywheel/core/outcome.hpp>
#include <savorywheel/http/http_response.hpp>

#include <ctl/exit_code.hpp>
#include <ctl/output_format.hpp>
#include <ctl/report_printer.hpp>

#include <string_view>

namespace savorywheel::ctl {

/** @brief Prints the responses of a node and maps them to exit codes. */
class response_printer {
public:
    /** @param output Format of the printed results. */
    explicit response_printer(output_format output) noexcept : output_{output} {}

    /**
     * @brief Prints the outcome of a change, also if the node did not respond.
     * @param response HTTP response, or the failure of the request.
     * @param file_name File name that prefixes the findings.
     * @param operation Operation id, with which an operator can settle an unknown outcome.
     */
    [[nodiscard]] exit_code print_change(const outcome<http_response>& response,
                                         std::string_view file_name,
                                         std::string_view operation) const;

    /** @brief Prints only the findings; returns exit_code::refused if there are any. */
    [[nodiscard]] exit_code print_check(const outcome<http_response>& response,
                                        std::string_view file_name) const;

    /** @brief Prints differences; returns exit_code::refused if there are findings. */
    [[nodiscard]] exit_code print_diff(const outcome<http_response>& response,
                                       std::string_view file_name) const;

    /** @brief Prints the response body unchanged. */
    [[nodiscard]] exit_code print_body(const outcome<http_response>& response) const;

    /**
     * @brief Prints the report of a read-only query.
     * @tparam Report Type to decode from the response body.
     */
    template<typename Report>
    [[nodiscard]] exit_code print_query_result(const outcome<http_response>& response) const;

private:
    [[nodiscard]] exit_code fail(const outcome<http_response>& response) const;

    output_format output_;
};

} // namespace savorywheel::ctl

#endif
