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
    /**
     * @brief Maximum memory held for all callers, in bytes: headers and bodies that are received,
     * requests in progress or waiting, and responses that have not been read. A request that does
     * not fit is rejected with status 503. Three of four parts are for large requests: two bodies
     * of the maximum size with their buffers.
     */
    std::size_t max_memory_bytes{4 * max_buffered_body_bytes + 4UL * 1024UL * 1024UL};
    /** @brief True if the handler needs no bodies: they are read, and not kept. */
    bool discards_bodies{};
    /**
     * @brief Maximum size of a request's header, in bytes; a larger one is rejected with status
     * 431.
     */
    std::size_t max_header_bytes{40UL * 1024UL};
    /** @brief Maximum time from the first byte of a request to the end of its header: the 3 s that
     * configurations allow, and a margin for requests in transit. */
    std::chrono::milliseconds header_timeout{8000};
    /**
     * @brief Maximum of open connections; a further one takes the place of one without progress, or
     * is closed immediately.
     */
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
