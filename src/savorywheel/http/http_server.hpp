#ifndef SAVORYWHEEL_HTTP_HTTP_SERVER_HPP
#define SAVORYWHEEL_HTTP_HTTP_SERVER_HPP

#include <savorywheel/core/network_endpoint.hpp>
#include <savorywheel/core/outcome.hpp>
#include <savorywheel/http/http_handler.hpp>
#include <savorywheel/http/http_server_limits.hpp>
#include <savorywheel/http/http_server_listener.hpp>

#include <memory>

namespace savorywheel {

/** @brief HTTP server on ulfius, with one thread per connection; for few connections. */
class http_server {
public:
    /**
     * @param handler Called for each request; must outlive the server.
     * @param limits Limits on callers, and on a graceful stop.
     * @param listener Receives what does not reach the handler; must outlive the server if set.
     */
    explicit http_server(http_handler& handler, http_server_limits limits = {},
                         http_server_listener* listener = nullptr);
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    http_server(http_server&&) = delete;
    http_server& operator=(http_server&&) = delete;
    ~http_server();

    /**
     * @brief Listens and starts to serve.
     * @param local Endpoint to listen on.
     * @return Failure with code `invalid_argument` if the address is not an IPv4 address, or
     * `unavailable` if the endpoint cannot be bound; true otherwise.
     */
    [[nodiscard]] outcome<bool> start(const network_endpoint& local);

    /** @brief Stops listening, drains the open connections within the limits, then shuts down. */
    void stop();

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace savorywheel

#endif
