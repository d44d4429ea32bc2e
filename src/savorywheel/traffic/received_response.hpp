#ifndef SAVORYWHEEL_TRAFFIC_RECEIVED_RESPONSE_HPP
#define SAVORYWHEEL_TRAFFIC_RECEIVED_RESPONSE_HPP

#include <savorywheel/traffic/response_origin.hpp>

namespace savorywheel {

/** @brief What a backend server sent in response to a call, as logged. */
struct received_response {
    /** @brief HTTP status code. */
    int status{};
    response_origin origin;
};

} // namespace savorywheel

#endif
