#ifndef SAVORYWHEEL_HTTP_HTTP_REQUEST_HPP
#define SAVORYWHEEL_HTTP_HTTP_REQUEST_HPP

#include <savorywheel/http/http_header.hpp>

#include <string>
#include <vector>

namespace savorywheel {

struct http_request {
    /** @brief Method, such as "GET". */
    std::string method;
    /** @brief Request target as sent, without decoding; usually path and query. */
    std::string target;
    std::vector<http_header> headers;
    std::string body;
};

} // namespace savorywheel

#endif
