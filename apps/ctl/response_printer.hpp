#ifndef SAVORYWHEEL_APPS_CTL_RESPONSE_PRINTER_HPP
#define SAVORYWHEEL_APPS_CTL_RESPONSE_PRINTER_HPP

#include <savorywheel/core/outcome.hpp>
#include <savorywheel/http/http_response.hpp>

#include <ctl/exit_code.hpp>
#include <ctl/output_format.hpp>
#include <ctl/report_printer.hpp>

#include <string_view>

namespace savorywheel::ctl {

/** @brief Prints the node's answers and tells the exit code. */
class response_printer {
public:
    /** @param output How to print. */
    explicit response_printer(output_format output) noexcept : output_{output} {}

    /**
     * @brief Prints the answer to a change.
     * @param response The response, or why there is none.
     * @param source Name of the text for findings.
     * @param operation The operation, which an operator needs when there is no answer.
     */
    [[nodiscard]] exit_code print_change(const outcome<http_response>& response,
                                         std::string_view source, std::string_view operation) const;

    /** @brief Prints findings alone; refused if there are some. */
    [[nodiscard]] exit_code print_check(const outcome<http_response>& response,
                                        std::string_view source) const;

    /** @brief Prints differences; refused if there are findings. */
    [[nodiscard]] exit_code print_diff(const outcome<http_response>& response,
                                       std::string_view source) const;

    /** @brief Prints a body as it is. */
    [[nodiscard]] exit_code print_body(const outcome<http_response>& response) const;

    /**
     * @brief Prints a report that only shows something.
     * @tparam Report Type of the report.
     */
    template<typename Report>
    [[nodiscard]] exit_code print_query_result(const outcome<http_response>& response) const;

private:
    [[nodiscard]] exit_code fail(const outcome<http_response>& response) const;

    output_format output_;
};

} // namespace savorywheel::ctl

#endif
