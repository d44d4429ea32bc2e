#ifndef SAVORYWHEEL_ROUTING_SERVICE_ROUTES_HPP
#define SAVORYWHEEL_ROUTING_SERVICE_ROUTES_HPP

#include <savorywheel/config/service_state.hpp>
#include <savorywheel/routing/route_endpoint.hpp>

#include <memory>
#include <vector>

namespace savorywheel {

/** @brief A service's configuration with the backend servers that are known; immutable. */
struct service_routes {
    /** @brief Configuration. */
    std::shared_ptr<const service_state> state;
    /** @brief Backend servers of all versions. */
    std::vector<route_endpoint> endpoints;

    /** @return True if a backend server of the version is known. */
    [[nodiscard]] bool has_endpoint(const version_name& version) const noexcept;
};

} // namespace savorywheel

#endif
