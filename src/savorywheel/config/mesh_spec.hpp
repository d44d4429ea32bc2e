#ifndef SAVORYWHEEL_CONFIG_MESH_SPEC_HPP
#define SAVORYWHEEL_CONFIG_MESH_SPEC_HPP

#include <savorywheel/config/domain_spec.hpp>
#include <savorywheel/config/service_spec.hpp>
#include <savorywheel/config/tenant_spec.hpp>

#include <vector>

namespace savorywheel {

/** @brief Parsed configuration text: the desired state of the mesh. */
struct mesh_spec {
    std::vector<domain_spec> domains;
    std::vector<service_spec> services;
    /** @brief Tenants; if there are any, requests on routes that are not public need a key. */
    std::vector<tenant_spec> tenants{};

    [[nodiscard]] friend bool operator==(const mesh_spec&, const mesh_spec&) = default;
};

} // namespace savorywheel

#endif
