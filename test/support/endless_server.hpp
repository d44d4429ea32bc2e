#ifndef SAVORYWHEEL_TEST_SUPPORT_ENDLESS_SERVER_HPP
#define SAVORYWHEEL_TEST_SUPPORT_ENDLESS_SERVER_HPP

#include <savorywheel/core/network_endpoint.hpp>

#include <atomic>
#include <string>
#include <thread>

namespace savorywheel::test {

/** @brief TCP server that sends the same bytes again and again until its caller closes. */
class endless_server {
public:
    /**
     * @param start Bytes to send once after the first bytes of a request.
     * @param repeated Bytes to repeat after these.
     */
    endless_server(std::string start, const std::string& repeated);
    endless_server(const endless_server&) = delete;
    endless_server& operator=(const endless_server&) = delete;
    endless_server(endless_server&&) = delete;
    endless_server& operator=(endless_server&&) = delete;
    ~endless_server();

    /** @return Endpoint on which the server listens. */
    [[nodiscard]] const network_endpoint& endpoint() const noexcept { return endpoint_; }

    /** @return Number of connections that their caller has closed. */
    [[nodiscard]] std::size_t closed_connections() const noexcept { return closed_connections_; }

private:
    void run();

    std::string start_;
    std::string block_;
    network_endpoint endpoint_;
    int listener_{};
    std::atomic<int> connection_{-1};
    std::atomic<std::size_t> closed_connections_{};
    std::atomic<bool> stopping_{};
    std::thread thread_;
};

} // namespace savorywheel::test

#endif
