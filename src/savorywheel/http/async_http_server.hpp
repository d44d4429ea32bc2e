#ifndef SAVORYWHEEL_HTTP_ASYNC_HTTP_SERVER_HPP
#define SAVORYWHEEL_HTTP_ASYNC_HTTP_SERVER_HPP

#include <savorywheel/core/network_endpoint.hpp>
#include <savorywheel/core/outcome.hpp>
#include <savorywheel/http/async_http_handler.hpp>
#include <savorywheel/http/caller_limit_target.hpp>
#include <savorywheel/http/http_server_limits.hpp>
#include <savorywheel/http/http_server_listener.hpp>
#include <savorywheel/io/io_loop.hpp>

#include <chrono>
#include <cstddef>
#include <memory>

namespace savorywheel {

/**
 * @brief HTTP server on Boost.Beast, without a thread per connection.
 *
 * Pipelined requests are read ahead; see request_pipeline for the order in which they run.
 */
class async_http_server final : public caller_limit_target {
public:
    /**
     * @param handler Called on the loop's thread for each request; must outlive the loop.
     * @param loop Serves the connections; must be running before stop().
     * @param limits Limits on callers, and on a graceful stop.
     * @param listener Receives what does not reach the handler; must outlive the loop if set.
     */
    async_http_server(async_http_handler& handler, io_loop& loop, http_server_limits limits = {},
                      http_server_listener* listener = nullptr);
    async_http_server(const async_http_server&) = delete;
    async_http_server& operator=(const async_http_server&) = delete;
    async_http_server(async_http_server&&) = delete;
    async_http_server& operator=(async_http_server&&) = delete;
    ~async_http_server() override;

    /**
     * @brief Listens and starts to serve.
     * @param local Endpoint to listen on.
     * @return Failure with code `invalid_argument` if the address is not an IPv4 address, or
     * `unavailable` if the endpoint cannot be bound; true otherwise.
     */
    [[nodiscard]] outcome<bool> start(const network_endpoint& local);

    void set_caller_limits(std::size_t max_body_bytes, std::chrono::seconds idle_timeout,
                           std::chrono::milliseconds header_timeout) override;

    /** @return Memory held for all callers, in bytes; thread-safe. */
    [[nodiscard]] std::size_t held_bytes() const noexcept;

    /** @brief Stops with the drain limit of the limits. */
    void stop();

    /**
     * @brief Drains the open connections within the limits, then stops listening and closes them.
     *
     * Until then new connections are served, so that a caller that does not know yet of the stop
     * gets a response. Each response closes its connection. Requests that outlast the drain are
     * cancelled and still get the handler's response.
     * @param drain_limit Maximum wait for requests in flight.
     * @warning Must not be called on the loop's thread.
     */
    void stop(std::chrono::milliseconds drain_limit);

private:
    class impl;
    std::shared_ptr<impl> impl_;
    std::chrono::milliseconds drain_limit_;
};

} // namespace savorywheel

#endif
