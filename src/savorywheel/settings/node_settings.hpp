#ifndef SAVORYWHEEL_SETTINGS_NODE_SETTINGS_HPP
#define SAVORYWHEEL_SETTINGS_NODE_SETTINGS_HPP

#include <savorywheel/core/names.hpp>
#include <savorywheel/core/network_endpoint.hpp>
#include <savorywheel/log/event_severity.hpp>
#include <savorywheel/settings/operator_key.hpp>

#include <vector>

namespace savorywheel {

/** @brief Settings of a node. */
struct node_settings {
    /** @brief Name of the node, unique in the mesh. */
    node_id name;
    /** @brief Failure domain of its VM. */
    failure_domain domain;
    /** @brief Region of its VM. */
    region_name region;
    /** @brief Where callers send requests. */
    network_endpoint traffic;
    /** @brief Where operators and the backend server reach the node. */
    network_endpoint admin;
    /** @brief Where other nodes reach it, over TCP and UDP. */
    network_endpoint peer;
    /** @brief The platform's service. */
    network_endpoint store;
    /** @brief Peers through which it joins. */
    std::vector<network_endpoint> seeds;
    /** @brief Least severity of the events that are logged. */
    event_severity log_level{event_severity::info};
    /** @brief Operators who may change the configuration. */
    std::vector<operator_key> operators;
};

} // namespace savorywheel

#endif
