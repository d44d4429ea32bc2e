#ifndef SAVORYWHEEL_ROUTING_ROUTE_ENDPOINT_HPP
#define SAVORYWHEEL_ROUTING_ROUTE_ENDPOINT_HPP

#include <savorywheel/core/names.hpp>
#include <savorywheel/core/network_endpoint.hpp>
#include <savorywheel/membership/server_state.hpp>

#include <cstdint>

namespace savorywheel {

/** @brief A backend server that a proxy may route to, through the node beside it. */
struct route_endpoint {
    /** @brief Node beside the backend server. */
    node_id node;
    /** @brief Where that node is reached. */
    network_endpoint peer;
    /** @brief Failure domain. */
    failure_domain domain;
    /** @brief Region. */
    region_name region;
    /** @brief Version of the backend server. */
    version_name version;
    /** @brief State of the backend server. */
    server_state state{server_state::serving};
    /** @brief Requests that it runs at one time. */
    std::uint32_t slots{};
};

} // namespace savorywheel

#endif
