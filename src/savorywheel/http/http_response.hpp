#ifndef SAVORYWHEEL_HTTP_HTTP_RESPONSE_HPP
#define SAVORYWHEEL_HTTP_HTTP_RESPONSE_HPP

#include <savorywheel/http/http_header.hpp>

#include <string>
#include <vector>

namespace savorywheel {

struct http_response {
    int status{};
    std::vector<http_header> headers;
    std::string body;
    /**
     * @brief True if no response can have come before it on its connection; set by http_client,
     * not sent to other nodes.
     */
    bool first_on_connection{};
};

} // namespace savorywheel

#endif
