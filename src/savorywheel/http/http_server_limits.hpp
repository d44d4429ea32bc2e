#ifndef SAVORYWHEEL_HTTP_HTTP_SERVER_LIMITS_HPP
#define SAVORYWHEEL_HTTP_HTTP_SERVER_LIMITS_HPP

#include <chrono>
#include <cstddef>

namespace savorywheel {

struct http_server_limits {
    /** @brief Maximum request body, in bytes; larger ones are rejected with status 413. */
    std::size_t max_body_bytes{8UL * 1024UL * 1024UL};
    /**
     * @brief Maximum request body that is held in memory, in bytes; larger ones within
     * max_body_bytes are rejected with status 503.
     */
    std::size_t max_buffered_body_bytes{8UL * 1024UL * 1024UL};
    /** @brief Maximum memory for the bodies of all requests, in bytes: two of the maximum size. */
    std::size_t max_buffered_total_bytes{2 * max_buffered_body_bytes};
    /**
     * @brief Maximum size of a request's header, in bytes; a larger one is rejected with status
     * 431.
     */
    std::size_t max_header_bytes{40UL * 1024UL};
    /** @brief Maximum of open connections; further ones are closed immediately. */
    unsigned max_connections{512};
    /** @brief Idle time after which a persistent connection is closed. */
    std::chrono::seconds idle_timeout{60};
    /** @brief Time without requests after which a graceful stop closes idle connections. */
    std::chrono::milliseconds drain_idle{1000};
    /** @brief Maximum wait of a graceful stop for requests in flight. */
    std::chrono::milliseconds drain_limit{10'000};
    /** @brief Maximum wait of a graceful stop for the responses to interrupted requests. */
    std::chrono::milliseconds interruption_limit{500};
};

} // namespace savorywheel

#endif
