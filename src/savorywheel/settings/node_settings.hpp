#ifndef SAVORYWHEEL_SETTINGS_NODE_SETTINGS_HPP
#define SAVORYWHEEL_SETTINGS_NODE_SETTINGS_HPP

#include <savorywheel/core/names.hpp>
#include <savorywheel/core/network_endpoint.hpp>
#include <savorywheel/log/event_severity.hpp>
#include <savorywheel/settings/operator_key.hpp>
#include <savorywheel/traffic/retry_limits.hpp>

#include <chrono>
#include <optional>
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
    /** @brief Where the backend server announces itself, if not at the admin endpoint. */
    std::optional<network_endpoint> announcements;
    /** @brief Where readiness is asked for, if it is. */
    std::optional<network_endpoint> readiness;
    /** @brief Service that the callers on this VM belong to; empty if they belong to none. */
    service_name caller_service;
    /** @brief The platform's service. */
    network_endpoint store;
    /** @brief Peers through which it joins. */
    std::vector<network_endpoint> seeds;
    /** @brief Least severity of the events that are logged. */
    event_severity log_level{event_severity::info};
    /** @brief Operators who may change the configuration. */
    std::vector<operator_key> operators;
    /** @brief Time without an announcement after which the backend server counts as gone. */
    std::chrono::milliseconds backend_timeout{3000};
    /** @brief Time for which a node that stops still takes new requests. */
    std::chrono::milliseconds stop_notice{300};
    /** @brief Longest wait of a stop for requests in progress. */
    std::chrono::milliseconds stop_limit{10'000};
    /** @brief Idle time after which a caller's connection is closed. */
    std::chrono::seconds idle_timeout{60};
    /** @brief Bounds on retries in the whole mesh. */
    retry_limits retries;
};

} // namespace savorywheel

#endif
