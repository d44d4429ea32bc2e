#ifndef SAVORYWHEEL_TRAFFIC_RESPONSE_ORIGIN_HPP
#define SAVORYWHEEL_TRAFFIC_RESPONSE_ORIGIN_HPP

#include <savorywheel/traffic/named_request.hpp>

namespace savorywheel {

/** @brief What a response shows about where it comes from. */
struct response_origin {
    /** @brief Request that the response names. */
    named_request request{named_request::none};
    /** @brief True if the response carries the signature of a backend server. */
    bool is_signed{};
};

} // namespace savorywheel

#endif
