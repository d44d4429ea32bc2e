#ifndef SAVORYWHEEL_TEST_SUPPORT_SCRIPTED_SERVER_HPP
#define SAVORYWHEEL_TEST_SUPPORT_SCRIPTED_SERVER_HPP

#include <savorywheel/core/network_endpoint.hpp>

#include <atomic>
#include <string>
#include <thread>
#include <vector>

namespace savorywheel::test {

/** @brief Response of a scripted server to one request. */
struct scripted_exchange {
    /** @brief Bytes to send once the header of a request has been received. */
    std::string response;
    /** @brief True to close the connection after the response. */
    bool close{true};
    /** @brief True to close the connection by a reset; requires close. */
    bool reset{false};
};

/** @brief TCP server that answers requests with a fixed sequence of raw bytes. */
class scripted_server {
public:
    /** @param script Responses in order; after the last, connections close without a response. */
    explicit scripted_server(std::vector<scripted_exchange> script);
    scripted_server(const scripted_server&) = delete;
    scripted_server& operator=(const scripted_server&) = delete;
    scripted_server(scripted_server&&) = delete;
    scripted_server& operator=(scripted_server&&) = delete;
    ~scripted_server();

    /** @return Endpoint on which the server listens. */
    [[nodiscard]] const network_endpoint& endpoint() const noexcept { return endpoint_; }

    /** @return Number of requests whose header was received. */
    [[nodiscard]] std::size_t requests() const noexcept { return requests_; }

    /** @return Number of closed connections. */
    [[nodiscard]] std::size_t closed_connections() const noexcept { return closed_connections_; }

private:
    void run();
    [[nodiscard]] bool receive_request(int connection);

    std::vector<scripted_exchange> script_;
    network_endpoint endpoint_;
    int listener_{};
    std::atomic<std::size_t> requests_{};
    std::atomic<std::size_t> closed_connections_{};
    std::atomic<bool> stopping_{};
    std::thread thread_;
};

} // namespace savorywheel::test

#endif
