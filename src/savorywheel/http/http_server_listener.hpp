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

    /** @brief A request was refused because the server may hold no more memory. */
    virtual void on_out_of_memory(std::string_view /*reason*/) {}

    /** @brief A connection was closed so that other callers get its memory or its place. */
    virtual void on_evicted(std::string_view /*reason*/) {}

    /** @brief A connection was closed because the header of a request was not complete in time. */
    virtual void on_header_timeout(std::string_view /*reason*/) {}

    /** @brief A new connection was closed because there are too many. */
    virtual void on_connection_refused(std::string_view /*reason*/) {}

    /** @brief The HTTP library reported an error; it may have sent a response of its own. */
    virtual void on_library_error(std::string_view message) = 0;
};

} // namespace savorywheel

#endif
