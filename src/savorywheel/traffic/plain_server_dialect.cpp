#include <savorywheel/traffic/plain_headers.hpp>
#include <savorywheel/traffic/plain_server_dialect.hpp>

namespace savorywheel {

void plain_server_dialect::address(http_request& request, const backend_server& /*backend*/,
                                   std::chrono::milliseconds remaining) const
{
    request.headers.push_back(
        {std::string{plain_deadline_header}, std::to_string(remaining.count())});
}

answer_verdict plain_server_dialect::judge(const http_request& /*request*/,
                                           const http_response& /*response*/) const
{
    return answer_verdict::whole;
}

} // namespace savorywheel
