#include <savorywheel/traffic/plain_caller_dialect.hpp>
#include <savorywheel/traffic/plain_headers.hpp>

namespace savorywheel {

caller_terms plain_caller_dialect::read(const http_request& request) const
{
    caller_terms terms;
    terms.patience = read_patience(find_header(request.headers, plain_deadline_header));
    return terms;
}

void plain_caller_dialect::forward(http_request& request) const
{
    std::erase_if(request.headers, [](const http_header& header) {
        return equal_ignoring_case(plain_deadline_header, header.name);
    });
}

http_response plain_caller_dialect::reject(const rejection& why) const
{
    const auto* outcome = why.may_have_run() ? "unknown" : "not-run";
    return {why.status(),
            {{std::string{plain_outcome_header}, outcome}, {"Content-Type", "text/plain"}},
            why.reason + "\n"};
}

} // namespace savorywheel
