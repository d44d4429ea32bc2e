#ifndef SAVORYWHEEL_ROUTING_SERVICE_ROUTES_HPP
#define SAVORYWHEEL_ROUTING_SERVICE_ROUTES_HPP

#include <savorywheel/config/service_state.hpp>
#include <savorywheel/routing/route_endpoint.hpp>

#include <memory>
#include <vector>

namespace savorywheel {

/** @brief Configuration and known endpoints of a service; immutable. */
struct service_routes {
    std::shared_ptr<const service_state> state;
    /** @brief Endpoints of all versions. */
    std::vector<route_endpoint> endpoints;

    /** @return True if the version has an endpoint. */
    [[nodiscard]] bool has_endpoint(const version_name& version) const noexcept;
};

} // namespace savorywheel

#endif
