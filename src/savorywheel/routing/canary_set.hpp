#ifndef SAVORYWHEEL_ROUTING_CANARY_SET_HPP
#define SAVORYWHEEL_ROUTING_CANARY_SET_HPP

#include <savorywheel/config/service_state.hpp>
#include <savorywheel/routing/route_endpoint.hpp>

#include <span>

namespace savorywheel {

/**
 * @brief Marks the endpoints that a version under rollout does not need for its current share.
 *
 * The others form the canary set. It has the fraction of the version's endpoints that corresponds
 * to its share, so that each of them has the load that it will have after the move, and a fault
 * that depends on load shows while the share is small. All nodes compute the same set from the same
 * members.
 * @param service State of the service; without a move in progress, or under an override, no
 * endpoint is marked.
 * @param endpoints Endpoints of the service, of all versions.
 */
void mark_standby_endpoints(const service_state& service, std::span<route_endpoint> endpoints);

} // namespace savorywheel

#endif
