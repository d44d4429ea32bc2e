#ifndef SAVORYWHEEL_HTTP_HTTP_RESPONSE_HPP
#define SAVORYWHEEL_HTTP_HTTP_RESPONSE_HPP

#include <savorywheel/http/http_header.hpp>

#include <string>
#include <vector>

namespace savorywheel {

/** @brief HTTP response. */
struct http_response {
    /** @brief Status code. */
    int status{};
    /** @brief Header fields. */
    std::vector<http_header> headers;
    /** @brief Body. */
    std::string body;
};

} // namespace savorywheel

#endif
