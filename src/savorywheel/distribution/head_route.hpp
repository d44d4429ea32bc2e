#ifndef SAVORYWHEEL_DISTRIBUTION_HEAD_ROUTE_HPP
#define SAVORYWHEEL_DISTRIBUTION_HEAD_ROUTE_HPP

#include <cstdint>

namespace savorywheel {

/** @brief How the head of a peer's documents has reached this node. */
enum class head_route : std::uint8_t {
    probe, /**< With a membership message, from any peer. */
    tree   /**< With a confirmation or an announcement along a spread_tree. */
};

} // namespace savorywheel

#endif
