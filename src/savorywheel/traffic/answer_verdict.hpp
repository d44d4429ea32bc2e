#ifndef SAVORYWHEEL_TRAFFIC_ANSWER_VERDICT_HPP
#define SAVORYWHEEL_TRAFFIC_ANSWER_VERDICT_HPP

#include <cstdint>

namespace savorywheel {

/** @brief Result of checking a response of a backend server against its request. */
enum class answer_verdict : std::uint8_t {
    whole,    /**< The response is complete and belongs to the request. */
    not_run,  /**< The backend server reports that it has not run the request. */
    untrusted /**< The response belongs to another request or must not be forwarded. */
};

} // namespace savorywheel

#endif
