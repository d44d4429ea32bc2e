#ifndef SAVORYWHEEL_HTTP_HTTP_CLIENT_HPP
#define SAVORYWHEEL_HTTP_HTTP_CLIENT_HPP

#include <savorywheel/core/network_endpoint.hpp>
#include <savorywheel/core/outcome.hpp>
#include <savorywheel/http/cancellation.hpp>
#include <savorywheel/http/http_request.hpp>
#include <savorywheel/http/http_response.hpp>

#include <chrono>

namespace savorywheel {

/** @brief Sends HTTP requests and waits for their answers; any thread may use it. */
class http_client {
public:
    http_client() = default;
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;
    http_client(http_client&&) = delete;
    http_client& operator=(http_client&&) = delete;
    virtual ~http_client() = default;

    /**
     * @brief Sends a request once; it is never repeated by itself.
     * @param server Receiver.
     * @param request The request.
     * @param timeout Longest time until the whole answer is there.
     * @return unavailable if nothing was sent; timeout or unknown_outcome if the request may have
     * been executed without a whole answer.
     */
    [[nodiscard]] virtual outcome<http_response> send(const network_endpoint& server,
                                                      const http_request& request,
                                                      std::chrono::milliseconds timeout) = 0;

    /**
     * @brief Sends a request once, and gives it up when it is cancelled.
     * @param stop Cancels the request by closing its connection.
     * @return As send() without cancellation.
     */
    [[nodiscard]] virtual outcome<http_response>
    send_until_cancelled(const network_endpoint& server, const http_request& request,
                         std::chrono::milliseconds timeout, cancellation& stop)
    {
        static_cast<void>(stop);
        return send(server, request, timeout);
    }

    /** @brief Closes the kept connections that no request uses. */
    virtual void close_idle(const network_endpoint& server) { static_cast<void>(server); }

    /** @return False if the server refuses connections, or closes a new one at once. */
    [[nodiscard]] virtual bool accepts_connections(const network_endpoint& server)
    {
        static_cast<void>(server);
        return true;
    }
};

} // namespace savorywheel

#endif
