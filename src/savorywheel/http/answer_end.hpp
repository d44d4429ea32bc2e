#ifndef SAVORYWHEEL_HTTP_ANSWER_END_HPP
#define SAVORYWHEEL_HTTP_ANSWER_END_HPP

#include <cstdint>

namespace savorywheel {

/** @brief What makes an answer whole. */
enum class answer_end : std::uint8_t {
    by_length,     /**< Its length, or its last chunk; an answer without them may be cut. */
    or_connection, /**< Also the orderly end of its connection, if it has neither. */
};

} // namespace savorywheel

#endif
