#include <savorywheel/http/ulfius_http_client.hpp>

#include <ulfius.h>

namespace savorywheel {

namespace {

void fill(_u_request& target, const network_endpoint& server, const http_request& request,
          std::chrono::milliseconds timeout)
{
    const auto url = "http://" + to_string(server) + request.target;
    const auto whole_seconds = std::chrono::ceil<std::chrono::seconds>(timeout);
    target.http_verb = o_strdup(request.method.c_str());
    target.http_url = o_strdup(url.c_str());
    target.timeout = static_cast<unsigned long>(whole_seconds.count());
    for (const auto& header : request.headers) {
        u_map_put(target.map_header, header.name.c_str(), header.value.c_str());
    }
    if (!request.body.empty()) {
        ulfius_set_binary_body_request(&target, request.body.data(), request.body.size());
    }
}

http_response read(const _u_response& source)
{
    http_response response;
    response.status = static_cast<int>(source.status);
    const char** keys = u_map_enum_keys(source.map_header);
    for (std::size_t i = 0; keys != nullptr && keys[i] != nullptr; ++i) {
        const char* value = u_map_get(source.map_header, keys[i]);
        response.headers.push_back({keys[i], value != nullptr ? value : ""});
    }
    if (source.binary_body != nullptr) {
        response.body.assign(static_cast<const char*>(source.binary_body),
                             source.binary_body_length);
    }
    return response;
}

} // namespace

outcome<http_response> ulfius_http_client::send(const network_endpoint& server,
                                                const http_request& request,
                                                std::chrono::milliseconds timeout)
{
    _u_request message{};
    _u_response reply{};
    ulfius_init_request(&message);
    ulfius_init_response(&reply);
    fill(message, server, request, timeout);
    const auto result = ulfius_send_http_request(&message, &reply);
    outcome<http_response> response =
        failure{failure_code::unknown_outcome, "no answer from " + to_string(server)};
    if (result == U_OK) {
        response = read(reply);
    }
    ulfius_clean_request(&message);
    ulfius_clean_response(&reply);
    return response;
}

} // namespace savorywheel
