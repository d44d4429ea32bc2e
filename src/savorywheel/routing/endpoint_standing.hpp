#ifndef SAVORYWHEEL_ROUTING_ENDPOINT_STANDING_HPP
#define SAVORYWHEEL_ROUTING_ENDPOINT_STANDING_HPP

#include <cstdint>

namespace savorywheel {

/** @brief What the passive health checks say about an endpoint. */
enum class endpoint_standing : std::uint8_t {
    sound,
    /** @brief It has recently refused a call for lack of capacity. */
    at_capacity,
    /** @brief It is excluded from load balancing. */
    excluded
};

} // namespace savorywheel

#endif
