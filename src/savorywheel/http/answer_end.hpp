#ifndef SAVORYWHEEL_HTTP_ANSWER_END_HPP
#define SAVORYWHEEL_HTTP_ANSWER_END_HPP

#include <cstdint>

namespace savorywheel {

/** @brief How the end of a response must be marked for it to count as complete (RFC 9112, 6.3). */
enum class answer_end : std::uint8_t {
    by_length,     /**< Content-Length or the last chunk; others may be truncated. */
    or_connection, /**< Without either, also an orderly close of the connection. */
};

} // namespace savorywheel

#endif
