#ifndef SAVORYWHEEL_ROUTING_ENDPOINT_CANDIDATE_HPP
#define SAVORYWHEEL_ROUTING_ENDPOINT_CANDIDATE_HPP

#include <savorywheel/core/clock.hpp>
#include <savorywheel/routing/endpoint_load.hpp>
#include <savorywheel/routing/endpoint_standing.hpp>
#include <savorywheel/routing/route_endpoint.hpp>

namespace savorywheel {

/** @brief An endpoint that a call may be sent to, with what is known about it at this moment. */
struct endpoint_candidate {
    const route_endpoint* endpoint{};
    endpoint_standing standing{endpoint_standing::sound};
    endpoint_load load{};
    /** @brief Estimated cost of the call at the endpoint. */
    duration cost{};
};

} // namespace savorywheel

#endif
