#ifndef SAVORYWHEEL_CONFIG_MESH_SPEC_HPP
#define SAVORYWHEEL_CONFIG_MESH_SPEC_HPP

#include <savorywheel/config/domain_spec.hpp>
#include <savorywheel/config/service_spec.hpp>

#include <vector>

namespace savorywheel {

/** @brief The whole operators' text in typed form. */
struct mesh_spec {
    /** @brief Failure domains. */
    std::vector<domain_spec> domains;
    /** @brief Services. */
    std::vector<service_spec> services;

    /** @brief Compares both members. */
    [[nodiscard]] friend bool operator==(const mesh_spec&, const mesh_spec&) = default;
};

} // namespace savorywheel

#endif
