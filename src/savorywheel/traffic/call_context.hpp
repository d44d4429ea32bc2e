#ifndef SAVORYWHEEL_TRAFFIC_CALL_CONTEXT_HPP
#define SAVORYWHEEL_TRAFFIC_CALL_CONTEXT_HPP

#include <savorywheel/config/host_route.hpp>
#include <savorywheel/core/clock.hpp>
#include <savorywheel/http/cancellation.hpp>
#include <savorywheel/routing/routing_table.hpp>
#include <savorywheel/traffic/call_request.hpp>

#include <cstddef>
#include <memory>
#include <vector>

namespace savorywheel {

/** @brief A caller's request on its way through this node, with all that was decided about it. */
struct call_context {
    /** @brief Table in force when it came; nullptr if it was rejected before. */
    std::shared_ptr<const routing_table> table;
    /** @brief Service that is called; nullptr if its route leads to none. */
    std::shared_ptr<const service_routes> routes;
    /** @brief Its route; nullptr if it has none. */
    const host_route* route{};
    /** @brief The call, as nodes beside backend servers get it. */
    call_request call;
    /** @brief When it came. */
    monotonic_time started;
    /** @brief When its answer must be there. */
    monotonic_time deadline;
    /** @brief Tells that its caller hung up. */
    cancellation* stop{};
    /** @brief Nodes that were tried, in their order. */
    std::vector<node_id> tried_nodes;
    /** @brief Backend servers that it was sent to. */
    std::size_t servers_reached{};
    /** @brief Refusals for want of room. */
    std::size_t capacity_refusals{};
};

} // namespace savorywheel

#endif
