#include <savorywheel/traffic/default_headers.hpp>
#include <savorywheel/traffic/default_server_header_codec.hpp>

namespace savorywheel {

void default_server_header_codec::add_headers(http_request& request,
                                              const backend_server& /*backend*/,
                                              std::chrono::milliseconds remaining) const
{
    request.headers.push_back(
        {std::string{default_deadline_header}, std::to_string(remaining.count())});
}

response_verdict default_server_header_codec::verify(const http_request& /*request*/,
                                                     const http_response& /*response*/) const
{
    return response_verdict::complete;
}

response_origin default_server_header_codec::origin_of(const http_request& /*request*/,
                                                       const http_response& /*response*/) const
{
    return {named_request::own, true};
}

} // namespace savorywheel
