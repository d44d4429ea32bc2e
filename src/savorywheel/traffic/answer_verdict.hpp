#ifndef SAVORYWHEEL_TRAFFIC_ANSWER_VERDICT_HPP
#define SAVORYWHEEL_TRAFFIC_ANSWER_VERDICT_HPP

#include <cstdint>

namespace savorywheel {

/** @brief What an answer of a backend server says about a request. */
enum class answer_verdict : std::uint8_t {
    whole,    /**< It is the whole answer to the request. */
    not_run,  /**< The backend server says that it has not run the request. */
    untrusted /**< It belongs to another request or cannot be passed on as it is. */
};

} // namespace savorywheel

#endif
