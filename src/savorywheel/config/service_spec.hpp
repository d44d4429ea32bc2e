#ifndef SAVORYWHEEL_CONFIG_SERVICE_SPEC_HPP
#define SAVORYWHEEL_CONFIG_SERVICE_SPEC_HPP

#include <savorywheel/config/route_spec.hpp>
#include <savorywheel/config/traffic_target.hpp>
#include <savorywheel/core/names.hpp>

#include <vector>

namespace savorywheel {

/** @brief Desired state of one service. */
struct service_spec {
    /** @brief Name; callers use it as the host of their requests. */
    service_name name;
    /** @brief Services that this one may call. */
    std::vector<service_name> depends_on;
    /** @brief Routes, at least one. */
    std::vector<route_spec> routes;
    /** @brief Desired split of the traffic between versions. */
    traffic_target target;

    [[nodiscard]] friend bool operator==(const service_spec&, const service_spec&) = default;
};

} // namespace savorywheel

#endif
