#include <savorywheel/admin/admin_headers.hpp>

#include <ctl/node_client.hpp>

#include <utility>

namespace savorywheel::ctl {

outcome<http_response> node_client::send(http_request request) const
{
    if (!options_.key.empty()) {
        request.headers.push_back({std::string{key_header}, options_.key});
    }
    return http_.send(options_.node, request, options_.timeout);
}

outcome<http_response> node_client::get(std::string target) const
{
    return send({"GET", std::move(target), {}, {}});
}

outcome<http_response> node_client::post(std::string target, std::string body) const
{
    return send({"POST", std::move(target), {}, std::move(body)});
}

} // namespace savorywheel::ctl
