#ifndef SAVORYWHEEL_SETTINGS_NODE_SETTINGS_HPP
#define SAVORYWHEEL_SETTINGS_NODE_SETTINGS_HPP

#include <savorywheel/core/names.hpp>
#include <savorywheel/core/network_endpoint.hpp>
#include <savorywheel/log/event_severity.hpp>
#include <savorywheel/quota/quota_settings.hpp>
#include <savorywheel/settings/caller_resources.hpp>
#include <savorywheel/settings/operator_key.hpp>
#include <savorywheel/traffic/retry_limits.hpp>

#include <chrono>
#include <optional>
#include <vector>

namespace savorywheel {

/** @brief Static settings of one node. */
struct node_settings {
    /** @brief Unique in the mesh. */
    node_id name;
    /** @brief Failure domain of the node's VM. */
    failure_domain domain;
    /** @brief Region of the node's VM. */
    region_name region;
    /** @brief Listening endpoint for requests of callers. */
    network_endpoint traffic;
    /** @brief Listening endpoint for operators and the backend server. */
    network_endpoint admin;
    /** @brief Listening endpoint for other nodes, over TCP and UDP. */
    network_endpoint peer;
    /** @brief Listening endpoint for backend announcements, if not the admin endpoint. */
    std::optional<network_endpoint> announcements;
    /** @brief Listening endpoint for readiness probes, if enabled. */
    std::optional<network_endpoint> readiness;
    /** @brief Service of the callers on this VM; empty if they belong to none. */
    service_name caller_service;
    /** @brief Endpoint of the object store. */
    network_endpoint store;
    /** @brief Peers through which the node joins the mesh. */
    std::vector<network_endpoint> seeds;
    /** @brief Minimum severity of logged events. */
    event_severity log_level{event_severity::info};
    /** @brief Operators authorized to change the configuration. */
    std::vector<operator_key> operators;
    /** @brief Time without an announcement after which the backend server is considered gone. */
    std::chrono::milliseconds backend_timeout{3000};
    /** @brief Time for which a node that shuts down still accepts new requests. */
    std::chrono::milliseconds stop_notice{300};
    /** @brief Maximum time after the notice for which a shutdown waits for requests in flight. */
    std::chrono::milliseconds stop_limit{10'000};
    /** @brief Time from the stop signal to a forced end of the process; replaces stop_limit. */
    std::optional<std::chrono::milliseconds> stop_grace;
    /** @brief Idle timeout of a caller's connection. */
    std::chrono::seconds idle_timeout{60};
    /**
     * @brief Maximum age of what a node knows of API keys, above which it refuses requests with
     * one; none for no limit.
     */
    std::optional<std::chrono::milliseconds> key_confirmation_limit;
    /**
     * @brief True if every node watches the documents in the store; otherwise a few nodes of each
     * region do in a large mesh, and the others fetch changes from them.
     */
    bool every_node_watches{};
    /** @brief What each listener for callers may use. */
    caller_resources callers;
    /** @brief Retry limits for the whole mesh. */
    retry_limits retries;
    /** @brief Quotas of tenants; equal at all nodes. */
    quota_settings quota;
};

} // namespace savorywheel

#endif
