#ifndef SAVORYWHEEL_ROUTING_ENDPOINT_SELECTOR_HPP
#define SAVORYWHEEL_ROUTING_ENDPOINT_SELECTOR_HPP

#include <savorywheel/routing/route_endpoint.hpp>

#include <cstddef>
#include <span>

namespace savorywheel {

/** @brief Chooses the backend server that a call goes to. */
class endpoint_selector {
public:
    endpoint_selector() = default;
    endpoint_selector(const endpoint_selector&) = delete;
    endpoint_selector& operator=(const endpoint_selector&) = delete;
    endpoint_selector(endpoint_selector&&) = delete;
    endpoint_selector& operator=(endpoint_selector&&) = delete;
    virtual ~endpoint_selector() = default;

    /**
     * @brief Chooses among the endpoints of one version.
     * @param endpoints Endpoints of the service.
     * @param version Version to choose from.
     * @param tried Nodes that have refused this call.
     * @param bytes Bytes that the call carries.
     * @return The endpoint; nullptr if none is left.
     */
    [[nodiscard]] virtual const route_endpoint* select(std::span<const route_endpoint> endpoints,
                                                       const version_name& version,
                                                       std::span<const node_id> tried,
                                                       std::size_t bytes) = 0;
};

} // namespace savorywheel

#endif
