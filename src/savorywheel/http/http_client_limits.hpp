#ifndef SAVORYWHEEL_HTTP_HTTP_CLIENT_LIMITS_HPP
#define SAVORYWHEEL_HTTP_HTTP_CLIENT_LIMITS_HPP

#include <cstddef>

namespace savorywheel {

/** @brief Limits of a response; a response beyond them has an unknown outcome. */
struct http_client_limits {
    /** @brief Maximum size of all header and trailer fields, in bytes. */
    std::size_t max_header_bytes{64UL * 1024UL};
    /** @brief Maximum size of the body, in bytes. */
    std::size_t max_body_bytes{16UL * 1024UL * 1024UL};
    /**
     * @brief Maximum memory for the bodies of all responses being received, in bytes: two of the
     * maximum size.
     */
    std::size_t max_buffered_bytes{2 * max_body_bytes};
    /** @brief Size up to which a body does not count towards max_buffered_bytes, in bytes. */
    std::size_t unbudgeted_body_bytes{64UL * 1024UL};
    /** @brief Maximum number of interim responses (1xx) before the final one. */
    std::size_t max_interim_responses{16};
};

} // namespace savorywheel

#endif
