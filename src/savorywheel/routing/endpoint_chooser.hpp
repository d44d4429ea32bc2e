#ifndef SAVORYWHEEL_ROUTING_ENDPOINT_CHOOSER_HPP
#define SAVORYWHEEL_ROUTING_ENDPOINT_CHOOSER_HPP

#include <savorywheel/routing/route_endpoint.hpp>

#include <cstddef>
#include <span>

namespace savorywheel {

/** @brief Load balancing policy: selects the endpoint that a call is sent to. */
class endpoint_chooser {
public:
    endpoint_chooser() = default;
    endpoint_chooser(const endpoint_chooser&) = delete;
    endpoint_chooser& operator=(const endpoint_chooser&) = delete;
    endpoint_chooser(endpoint_chooser&&) = delete;
    endpoint_chooser& operator=(endpoint_chooser&&) = delete;
    virtual ~endpoint_chooser() = default;

    /**
     * @brief Selects among the endpoints of one version.
     * @param endpoints Endpoints of the service, of all versions.
     * @param version Version to select from.
     * @param tried Nodes that this call was already sent to; they are skipped.
     * @param bytes Size of the request body in bytes.
     * @return The endpoint; nullptr if none remains.
     */
    [[nodiscard]] virtual const route_endpoint* choose(std::span<const route_endpoint> endpoints,
                                                       const version_name& version,
                                                       std::span<const node_id> tried,
                                                       std::size_t bytes) = 0;
};

} // namespace savorywheel

#endif
