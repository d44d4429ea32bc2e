#ifndef SAVORYWHEEL_TEST_SUPPORT_SCRIPTED_SERVER_HPP
#define SAVORYWHEEL_TEST_SUPPORT_SCRIPTED_SERVER_HPP

#include <savorywheel/core/network_endpoint.hpp>

#include <atomic>
#include <string>
#include <thread>
#include <vector>

namespace savorywheel::test {

/** @brief One exchange of a scripted server. */
struct scripted_exchange {
    /** @brief Bytes to send after a request's header was received. */
    std::string response;
    /** @brief True to close the connection after the answer. */
    bool close{true};
    /** @brief True to reset the connection instead, which needs close. */
    bool reset{false};
};

/** @brief TCP server that sends given bytes to each request in turn. */
class scripted_server {
public:
    /** @param script Exchanges in their order; the server closes connections after the last. */
    explicit scripted_server(std::vector<scripted_exchange> script);
    scripted_server(const scripted_server&) = delete;
    scripted_server& operator=(const scripted_server&) = delete;
    scripted_server(scripted_server&&) = delete;
    scripted_server& operator=(scripted_server&&) = delete;
    ~scripted_server();

    /** @return Where it listens. */
    [[nodiscard]] const network_endpoint& endpoint() const noexcept { return endpoint_; }

    /** @return Requests whose header was received. */
    [[nodiscard]] std::size_t requests() const noexcept { return requests_; }

    /** @return Connections that ended. */
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
