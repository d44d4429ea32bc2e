#include <load/call_verdict.hpp>

namespace savorywheel::load {

namespace {

constexpr int first_client_error = 400;
constexpr int first_server_error = 500;
constexpr std::string_view outcome_header = "x-savorywheel-outcome";

} // namespace

call_verdict verdict_of(const outcome<http_response>& answer)
{
    if (!answer) {
        switch (answer.reason().code) {
        case failure_code::unavailable:
            return call_verdict::refused;
        case failure_code::timeout:
            return call_verdict::timeout;
        default:
            return call_verdict::unknown;
        }
    }
    const auto said = find_header(answer->headers, outcome_header);
    if (said == "not-run") {
        return call_verdict::not_run;
    }
    if (!said.empty()) {
        return call_verdict::unknown;
    }
    if (answer->status >= first_server_error) {
        return call_verdict::server_error;
    }
    return answer->status >= first_client_error ? call_verdict::client_error
                                                : call_verdict::answered;
}

std::string_view to_string(call_verdict verdict) noexcept
{
    switch (verdict) {
    case call_verdict::answered:
        return "answered";
    case call_verdict::client_error:
        return "client_error";
    case call_verdict::server_error:
        return "server_error";
    case call_verdict::not_run:
        return "not_run";
    case call_verdict::unknown:
        return "unknown";
    case call_verdict::timeout:
        return "timeout";
    case call_verdict::refused:
        return "refused";
    }
    return "unknown";
}

} // namespace savorywheel::load
