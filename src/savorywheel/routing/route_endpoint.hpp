#ifndef SAVORYWHEEL_ROUTING_ROUTE_ENDPOINT_HPP
#define SAVORYWHEEL_ROUTING_ROUTE_ENDPOINT_HPP

#include <savorywheel/core/names.hpp>
#include <savorywheel/core/network_endpoint.hpp>
#include <savorywheel/membership/server_state.hpp>

#include <cstdint>

namespace savorywheel {

/** @brief A backend server that a proxy may route to, through its co-located node. */
struct route_endpoint {
    /** @brief Node co-located with the backend server. */
    node_id node;
    /** @brief Address of that node. */
    network_endpoint peer;
    failure_domain domain;
    region_name region;
    version_name version;
    server_state state{server_state::serving};
    /** @brief Number of requests that the backend server runs concurrently. */
    std::uint32_t slots{};
    /** @brief True if the version under rollout does not need the endpoint for its share. */
    bool standby{};
};

} // namespace savorywheel

#endif
