#ifndef SAVORYWHEEL_TEST_SUPPORT_SILENCING_PROXY_HPP
#define SAVORYWHEEL_TEST_SUPPORT_SILENCING_PROXY_HPP

#include <savorywheel/core/network_endpoint.hpp>

#include <atomic>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace savorywheel::test {

/** @brief TCP proxy that can drop all bytes of its open connections while new ones work. */
class silencing_proxy {
public:
    /** @param target Endpoint to which connections are forwarded. */
    explicit silencing_proxy(network_endpoint target);
    silencing_proxy(const silencing_proxy&) = delete;
    silencing_proxy& operator=(const silencing_proxy&) = delete;
    silencing_proxy(silencing_proxy&&) = delete;
    silencing_proxy& operator=(silencing_proxy&&) = delete;
    ~silencing_proxy();

    /** @return Endpoint on which the proxy listens. */
    [[nodiscard]] const network_endpoint& endpoint() const noexcept { return endpoint_; }

    /** @brief Drops all further bytes of the open connections; does not close them. */
    void silence();

    /** @return Number of accepted connections. */
    [[nodiscard]] std::size_t accepted() const noexcept { return accepted_; }

private:
    struct link {
        int near{};
        int far{};
        std::atomic<bool> silent{};
        std::vector<std::thread> pumps;
    };

    void run();
    static void pump(link& item, int from, int to);

    network_endpoint target_;
    network_endpoint endpoint_;
    int listener_{};
    std::atomic<std::size_t> accepted_{};
    std::atomic<bool> stopping_{};
    std::mutex mutex_;
    std::vector<std::unique_ptr<link>> links_;
    std::thread thread_;
};

} // namespace savorywheel::test

#endif
