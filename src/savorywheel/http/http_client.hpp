#ifndef SAVORYWHEEL_HTTP_HTTP_CLIENT_HPP
#define SAVORYWHEEL_HTTP_HTTP_CLIENT_HPP

#include <savorywheel/core/network_endpoint.hpp>
#include <savorywheel/core/outcome.hpp>
#include <savorywheel/http/cancellation.hpp>
#include <savorywheel/http/http_request.hpp>
#include <savorywheel/http/http_response.hpp>

#include <chrono>

namespace savorywheel {

/** @brief Blocking HTTP client; thread-safe. */
class http_client {
public:
    http_client() = default;
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;
    http_client(http_client&&) = delete;
    http_client& operator=(http_client&&) = delete;
    virtual ~http_client() = default;

    /**
     * @brief Sends a request at most once, without automatic retries.
     * @param timeout Maximum time until the response is complete.
     * @return The response; a failure with code `unavailable` if nothing was sent, `timeout` or
     * `unknown_outcome` if the request may have been executed but no complete response arrived.
     */
    [[nodiscard]] virtual outcome<http_response> send(const network_endpoint& server,
                                                      const http_request& request,
                                                      std::chrono::milliseconds timeout) = 0;

    /**
     * @brief Sends a request as send() does, until it is cancelled.
     * @param cancel_signal Cancelling it closes the connection of the request.
     * @return As send(), also after cancellation.
     */
    [[nodiscard]] virtual outcome<http_response>
    send_until_cancelled(const network_endpoint& server, const http_request& request,
                         std::chrono::milliseconds timeout, cancellation& cancel_signal)
    {
        static_cast<void>(cancel_signal);
        return send(server, request, timeout);
    }

    /** @brief Closes the idle connections to a server. */
    virtual void close_idle(const network_endpoint& server) { static_cast<void>(server); }

    /** @return False if the server refuses a connection or closes it immediately. */
    [[nodiscard]] virtual bool accepts_connections(const network_endpoint& server)
    {
        static_cast<void>(server);
        return true;
    }
};

} // namespace savorywheel

#endif
