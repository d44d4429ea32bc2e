#ifndef SAVORYWHEEL_TEST_SUPPORT_RAW_HTTP_CONNECTION_HPP
#define SAVORYWHEEL_TEST_SUPPORT_RAW_HTTP_CONNECTION_HPP

#include <savorywheel/core/network_endpoint.hpp>

#include <chrono>
#include <string>
#include <string_view>

namespace savorywheel::test {

/** @brief Client connection that sends bytes as they are and reads HTTP responses. */
class raw_http_connection {
public:
    explicit raw_http_connection(const network_endpoint& server);
    raw_http_connection(const raw_http_connection&) = delete;
    raw_http_connection& operator=(const raw_http_connection&) = delete;
    raw_http_connection(raw_http_connection&&) = delete;
    raw_http_connection& operator=(raw_http_connection&&) = delete;
    ~raw_http_connection();

    /** @return False if the connection was closed before all bytes were sent. */
    [[nodiscard]] bool send(std::string_view bytes) const;

    /**
     * @brief Reads one response whose body has a Content-Length.
     * @return Status code of the response; 0 if the connection ended before its end.
     */
    [[nodiscard]] int read_status();

    /** @return True if the server closed the connection within the time and sent nothing more. */
    [[nodiscard]] bool closed_within(std::chrono::milliseconds limit) const;

    /** @return Body of the last response. */
    [[nodiscard]] const std::string& body() const noexcept { return body_; }

private:
    [[nodiscard]] bool receive();

    int socket_;
    std::string received_;
    std::string body_;
};

} // namespace savorywheel::test

#endif
