#ifndef SAVORYWHEEL_TEST_SUPPORT_EARLY_RESPONSE_SERVER_HPP
#define SAVORYWHEEL_TEST_SUPPORT_EARLY_RESPONSE_SERVER_HPP

#include <savorywheel/core/network_endpoint.hpp>

#include <atomic>
#include <chrono>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace savorywheel::test {

/**
 * @brief TCP server that responds after the header of a request, keeps the connection, and reads on
 * later.
 */
class early_response_server {
public:
    /**
     * @param response Bytes to send after the header of the first request on a connection.
     * @param pause Time after which it reads on, until the caller closes.
     */
    early_response_server(std::string response, std::chrono::milliseconds pause);
    early_response_server(const early_response_server&) = delete;
    early_response_server& operator=(const early_response_server&) = delete;
    early_response_server(early_response_server&&) = delete;
    early_response_server& operator=(early_response_server&&) = delete;
    ~early_response_server();

    /** @return Endpoint on which the server listens. */
    [[nodiscard]] const network_endpoint& endpoint() const noexcept { return endpoint_; }

    /** @return Bytes after the first header on each connection, in the order of connecting. */
    [[nodiscard]] std::vector<std::string> received() const;

    /** @return True if the caller has closed all connections, and their bytes were read. */
    [[nodiscard]] bool all_closed() const;

private:
    void accept_connections();
    void serve(int connection, std::size_t index);

    std::string response_;
    std::chrono::milliseconds pause_;
    network_endpoint endpoint_;
    int listener_{};
    std::atomic<bool> stopping_{};
    mutable std::mutex mutex_;
    std::vector<std::string> received_;
    std::vector<int> connections_;
    std::size_t closed_connections_{};
    std::vector<std::thread> workers_;
    std::thread acceptor_;
};

} // namespace savorywheel::test

#endif
