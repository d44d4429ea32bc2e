#ifndef SAVORYWHEEL_TRAFFIC_RESPONSE_VERDICT_HPP
#define SAVORYWHEEL_TRAFFIC_RESPONSE_VERDICT_HPP

#include <cstdint>

namespace savorywheel {

/** @brief What an answer of a backend server says about a request. */
enum class response_verdict : std::uint8_t {
    complete, /**< It is the whole answer to the request. */
    not_run,  /**< The backend server says that it has not run the request. */
    untrusted /**< It belongs to another request or cannot be passed on as it is. */
};

} // namespace savorywheel

#endif
