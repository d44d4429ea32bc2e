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
};

} // namespace savorywheel

#endif
