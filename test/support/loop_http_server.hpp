#ifndef SAVORYWHEEL_TEST_SUPPORT_LOOP_HTTP_SERVER_HPP
#define SAVORYWHEEL_TEST_SUPPORT_LOOP_HTTP_SERVER_HPP

#include <savorywheel/core/system_clock_source.hpp>
#include <savorywheel/http/async_http_server.hpp>

#include <support/threaded_http_handler.hpp>

#include <memory>

namespace savorywheel::test {

/** @brief async_http_server with a loop of its own, for handlers that may block. */
class loop_http_server {
public:
    explicit loop_http_server(http_handler& handler, http_server_limits limits = {},
                              http_server_listener* listener = nullptr)
        : threaded_{std::make_unique<threaded_http_handler>(handler)}, server_{*threaded_, loop_,
                                                                               limits, listener}
    {
        loop_.start("test");
    }

    explicit loop_http_server(async_http_handler& handler, http_server_limits limits = {},
                              http_server_listener* listener = nullptr)
        : server_{handler, loop_, limits, listener}
    {
        loop_.start("test");
    }

    loop_http_server(const loop_http_server&) = delete;
    loop_http_server& operator=(const loop_http_server&) = delete;
    loop_http_server(loop_http_server&&) = delete;
    loop_http_server& operator=(loop_http_server&&) = delete;

    ~loop_http_server()
    {
        server_.stop();
        loop_.stop();
    }

    [[nodiscard]] outcome<bool> start(const network_endpoint& local)
    {
        return server_.start(local);
    }

    void stop() { server_.stop(); }

    [[nodiscard]] caller_limit_target& limits() noexcept { return server_; }

private:
    system_clock_source time_;
    std::unique_ptr<threaded_http_handler> threaded_;
    io_loop loop_{time_};
    async_http_server server_;
};

} // namespace savorywheel::test

#endif
