#ifndef SAVORYWHEEL_TEST_SUPPORT_BLACKHOLE_PROXY_HPP
#define SAVORYWHEEL_TEST_SUPPORT_BLACKHOLE_PROXY_HPP

#include <savorywheel/core/network_endpoint.hpp>

#include <atomic>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace savorywheel::test {

/** @brief TCP proxy that can drop all bytes of its open connections while new ones work. */
class blackhole_proxy {
public:
    /** @param target Endpoint to which connections are forwarded. */
    explicit blackhole_proxy(network_endpoint target);
    blackhole_proxy(const blackhole_proxy&) = delete;
    blackhole_proxy& operator=(const blackhole_proxy&) = delete;
    blackhole_proxy(blackhole_proxy&&) = delete;
    blackhole_proxy& operator=(blackhole_proxy&&) = delete;
    ~blackhole_proxy();

    /** @return Endpoint on which the proxy listens. */
    [[nodiscard]] const network_endpoint& endpoint() const noexcept { return endpoint_; }

    /** @brief Drops all further bytes of the open connections; does not close them. */
    void blackhole_open_connections();

    /** @return Number of accepted connections. */
    [[nodiscard]] std::size_t accepted() const noexcept { return accepted_; }

private:
    struct proxied_connection {
        int client_socket{};
        int server_socket{};
        std::atomic<bool> blackholed{};
        std::vector<std::thread> forwarders;
    };

    void run();
    static void forward(proxied_connection& connection, int from, int to);

    network_endpoint target_;
    network_endpoint endpoint_;
    int listener_{};
    std::atomic<std::size_t> accepted_{};
    std::atomic<bool> stopping_{};
    std::mutex mutex_;
    std::vector<std::unique_ptr<proxied_connection>> connections_;
    std::thread thread_;
};

} // namespace savorywheel::test

#endif
