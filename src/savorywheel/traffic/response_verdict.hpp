#ifndef SAVORYWHEEL_TRAFFIC_RESPONSE_VERDICT_HPP
#define SAVORYWHEEL_TRAFFIC_RESPONSE_VERDICT_HPP

#include <cstdint>

namespace savorywheel {

/** @brief Result of checking a response of a backend server against its request. */
enum class response_verdict : std::uint8_t {
    complete, /**< The response is complete and belongs to the request. */
    not_run,  /**< The backend server reports that it has not run the request. */
    untrusted /**< The response belongs to another request or must not be forwarded. */
};

} // namespace savorywheel

#endif
