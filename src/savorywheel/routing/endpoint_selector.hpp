#ifndef SAVORYWHEEL_ROUTING_ENDPOINT_SELECTOR_HPP
#define SAVORYWHEEL_ROUTING_ENDPOINT_SELECTOR_HPP

#include <savorywheel/routing/call_profile.hpp>
#include <savorywheel/routing/route_endpoint.hpp>

#include <span>

namespace savorywheel {

/** @brief Load balancing policy: selects the endpoint that a call is sent to. */
class endpoint_selector {
public:
    endpoint_selector() = default;
    endpoint_selector(const endpoint_selector&) = delete;
    endpoint_selector& operator=(const endpoint_selector&) = delete;
    endpoint_selector(endpoint_selector&&) = delete;
    endpoint_selector& operator=(endpoint_selector&&) = delete;
    virtual ~endpoint_selector() = default;

    /**
     * @brief Selects among the endpoints of one version.
     * @param endpoints Endpoints of the service, of all versions.
     * @param version Version to select from.
     * @param tried Nodes that this call was already sent to; they are skipped.
     * @param call Size of the call and the time it may take.
     * @return The endpoint; nullptr if none remains.
     */
    [[nodiscard]] virtual const route_endpoint* select(std::span<const route_endpoint> endpoints,
                                                       const version_name& version,
                                                       std::span<const node_id> tried,
                                                       const call_profile& call) = 0;
};

} // namespace savorywheel

#endif
