#ifndef SAVORYWHEEL_HTTP_HTTP_HANDLER_HPP
#define SAVORYWHEEL_HTTP_HTTP_HANDLER_HPP

#include <savorywheel/http/http_request.hpp>
#include <savorywheel/http/http_response.hpp>

namespace savorywheel {

/** @brief Handler of HTTP requests; called on many threads concurrently, may block. */
class http_handler {
public:
    http_handler() = default;
    http_handler(const http_handler&) = delete;
    http_handler& operator=(const http_handler&) = delete;
    http_handler(http_handler&&) = delete;
    http_handler& operator=(http_handler&&) = delete;
    virtual ~http_handler() = default;

    [[nodiscard]] virtual http_response handle(const http_request& request) = 0;
};

} // namespace savorywheel

#endif
