#ifndef SAVORYWHEEL_HTTP_RESPONSE_FRAMING_HPP
#define SAVORYWHEEL_HTTP_RESPONSE_FRAMING_HPP

#include <cstdint>

namespace savorywheel {

/** @brief What makes an answer whole. */
enum class response_framing : std::uint8_t {
    explicit_only,         /**< Its length, or its last chunk; an answer without them may be cut. */
    allow_close_delimited, /**< Also the orderly end of its connection, if it has neither. */
};

} // namespace savorywheel

#endif
