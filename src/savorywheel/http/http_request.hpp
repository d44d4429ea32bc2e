#ifndef SAVORYWHEEL_HTTP_HTTP_REQUEST_HPP
#define SAVORYWHEEL_HTTP_HTTP_REQUEST_HPP

#include <savorywheel/http/http_header.hpp>

#include <string>
#include <vector>

namespace savorywheel {

/** @brief HTTP request. */
struct http_request {
    /** @brief Method, such as "GET". */
    std::string method;
    /** @brief Path with its query, as sent. */
    std::string target;
    /** @brief Header fields. */
    std::vector<http_header> headers;
    /** @brief Body. */
    std::string body;
};

} // namespace savorywheel

#endif
