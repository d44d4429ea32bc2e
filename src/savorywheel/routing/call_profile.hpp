#ifndef SAVORYWHEEL_ROUTING_CALL_PROFILE_HPP
#define SAVORYWHEEL_ROUTING_CALL_PROFILE_HPP

#include <savorywheel/core/clock.hpp>
#include <savorywheel/routing/expected_work.hpp>

#include <cstddef>

namespace savorywheel {

/** @brief What the selection of an endpoint needs to know about a call. */
struct call_profile {
    /** @brief Size of the request body and of the expected response body, in bytes. */
    std::size_t bytes{};
    /** @brief Time until the route's target latency is exceeded; zero if the route has none. */
    duration target_remaining{};
    /** @brief Expected service time at average speed; a mean of zero if unknown. */
    expected_work work{};
};

} // namespace savorywheel

#endif
