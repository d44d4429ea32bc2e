#include <load/request_result.hpp>

namespace savorywheel::load {

namespace {

constexpr int first_client_error = 400;
constexpr int first_server_error = 500;
constexpr std::string_view outcome_header = "x-savorywheel-outcome";

} // namespace

request_result classify_response(const outcome<http_response>& response)
{
    if (!response) {
        switch (response.reason().code) {
        case failure_code::unavailable:
            return request_result::refused;
        case failure_code::timeout:
            return request_result::timeout;
        default:
            return request_result::unknown;
        }
    }
    const auto reported = find_header(response->headers, outcome_header);
    if (reported == "not-run") {
        return request_result::not_run;
    }
    if (!reported.empty()) {
        return request_result::unknown;
    }
    if (response->status >= first_server_error) {
        return request_result::server_error;
    }
    return response->status >= first_client_error ? request_result::client_error
                                                  : request_result::answered;
}

std::string_view to_string(request_result result) noexcept
{
    switch (result) {
    case request_result::answered:
        return "answered";
    case request_result::client_error:
        return "client_error";
    case request_result::server_error:
        return "server_error";
    case request_result::not_run:
        return "not_run";
    case request_result::unknown:
        return "unknown";
    case request_result::timeout:
        return "timeout";
    case request_result::refused:
        return "refused";
    }
    return "unknown";
}

} // namespace savorywheel::load
