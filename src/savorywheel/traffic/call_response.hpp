#ifndef SAVORYWHEEL_TRAFFIC_CALL_RESPONSE_HPP
#define SAVORYWHEEL_TRAFFIC_CALL_RESPONSE_HPP

#include <savorywheel/http/http_response.hpp>
#include <savorywheel/traffic/call_result.hpp>

#include <string>

namespace savorywheel {

/** @brief The outcome of a call. */
struct call_response {
    /** @brief What became of it. */
    call_result result{call_result::unknown};
    /** @brief Why there is no answer; empty if there is one. */
    std::string reason;
    /** @brief The backend server's answer. */
    http_response response;
};

} // namespace savorywheel

#endif
