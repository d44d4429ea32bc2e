#ifndef SAVORYWHEEL_TRAFFIC_CALL_CONTEXT_HPP
#define SAVORYWHEEL_TRAFFIC_CALL_CONTEXT_HPP

#include <savorywheel/config/host_route.hpp>
#include <savorywheel/core/clock.hpp>
#include <savorywheel/http/async_http_handler.hpp>
#include <savorywheel/http/cancellation.hpp>
#include <savorywheel/routing/routing_table.hpp>
#include <savorywheel/traffic/call_request.hpp>
#include <savorywheel/traffic/quota_token.hpp>

#include <cstddef>
#include <memory>
#include <optional>
#include <vector>

namespace savorywheel {

/** @brief State of a proxied call: the request and the routing decisions made for it. */
struct call_context {
    /** @brief Routing table used for the call; nullptr if rejected before the lookup. */
    std::shared_ptr<const routing_table> table;
    /** @brief Routes of the called service; nullptr if the service is unknown. */
    std::shared_ptr<const service_routes> routes;
    /** @brief Matched route; nullptr if no route matched. */
    const host_route* route{};
    /** @brief Tenant of the caller, in the routing table; nullptr if it has none. */
    const tenant_entry* tenant{};
    /** @brief Token of its tenant's quota that the call holds. */
    std::optional<quota_token> token;
    /** @brief The call as it is sent to the node co-located with a backend server. */
    call_request call;
    /** @brief When the request was received. */
    monotonic_time started;
    /** @brief When the response must be complete. */
    monotonic_time deadline;
    /** @brief Cancelled when the caller closes its connection. */
    std::shared_ptr<cancellation> cancel_signal;
    /** @brief Sends the response to the caller. */
    async_http_handler::responder respond;
    /** @brief Nodes the call was sent to, in order. */
    std::vector<node_id> tried_nodes;
    /** @brief Number of attempts that reached a backend server. */
    std::size_t servers_reached{};
    /** @brief Number of attempts that were refused because the backend server is overloaded. */
    std::size_t overload_refusals{};
    /** @brief Number of attempts that were refused for lack of capacity. */
    std::size_t capacity_refusals{};
    /** @brief True if a backend server may have run the call in an earlier attempt. */
    bool may_have_run{};
};

} // namespace savorywheel

#endif
