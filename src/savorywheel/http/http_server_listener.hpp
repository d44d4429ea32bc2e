#ifndef SAVORYWHEEL_HTTP_HTTP_SERVER_LISTENER_HPP
#define SAVORYWHEEL_HTTP_HTTP_SERVER_LISTENER_HPP

#include <string_view>

namespace savorywheel {

/** @brief Receives what an HTTP server does without its handler; called on traffic threads. */
class http_server_listener {
public:
    http_server_listener() = default;
    http_server_listener(const http_server_listener&) = delete;
    http_server_listener& operator=(const http_server_listener&) = delete;
    http_server_listener(http_server_listener&&) = delete;
    http_server_listener& operator=(http_server_listener&&) = delete;
    virtual ~http_server_listener() = default;

    /**
     * @brief The server responded to a request without passing it to the handler.
     * @param status HTTP status code of the response.
     * @param target Request target as received.
     * @param reason Why, with the sizes that decided it.
     */
    virtual void on_rejected(int status, std::string_view target, std::string_view reason) = 0;

    /** @brief The HTTP library reported an error; it may have sent a response of its own. */
    virtual void on_library_error(std::string_view message) = 0;
};

} // namespace savorywheel

#endif
