#ifndef SAVORYWHEEL_HTTP_HTTP_SERVER_LIMITS_HPP
#define SAVORYWHEEL_HTTP_HTTP_SERVER_LIMITS_HPP

#include <chrono>
#include <cstddef>

namespace savorywheel {

/** @brief Limits of an HTTP server. */
struct http_server_limits {
    /** @brief Largest body of a request, in bytes; a larger one is refused with 413. */
    std::size_t max_body_bytes{8UL * 1024UL * 1024UL};
    /** @brief Connections at one time; more are closed at once. */
    unsigned max_connections{512};
    /** @brief Idle time after which a connection is closed. */
    std::chrono::seconds idle_timeout{60};
    /** @brief Time without requests after which a graceful stop closes open connections. */
    std::chrono::milliseconds drain_idle{1000};
    /** @brief Longest wait of a graceful stop for requests in progress. */
    std::chrono::milliseconds drain_limit{10'000};
};

} // namespace savorywheel

#endif
