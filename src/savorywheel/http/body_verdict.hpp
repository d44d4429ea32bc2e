#ifndef SAVORYWHEEL_HTTP_BODY_VERDICT_HPP
#define SAVORYWHEEL_HTTP_BODY_VERDICT_HPP

#include <cstdint>

namespace savorywheel {

/** @brief Whether the body of a request can be passed on. */
enum class body_verdict : std::uint8_t {
    complete,   /**< All of the body was received. */
    too_large,  /**< It is larger than callers may send. */
    unbuffered, /**< It is larger than what is held in memory, but callers may send it. */
    misframed,  /**< The fields that give its length are invalid or contradict each other. */
};

} // namespace savorywheel

#endif
