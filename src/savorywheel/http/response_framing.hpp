#ifndef SAVORYWHEEL_HTTP_RESPONSE_FRAMING_HPP
#define SAVORYWHEEL_HTTP_RESPONSE_FRAMING_HPP

#include <cstdint>

namespace savorywheel {

/** @brief How the end of a response must be marked for it to count as complete (RFC 9112, 6.3). */
enum class response_framing : std::uint8_t {
    explicit_only,         /**< Content-Length or the last chunk; others may be truncated. */
    allow_close_delimited, /**< Without either, also an orderly close of the connection. */
};

} // namespace savorywheel

#endif
