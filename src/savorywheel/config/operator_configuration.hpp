#ifndef SAVORYWHEEL_CONFIG_OPERATOR_CONFIGURATION_HPP
#define SAVORYWHEEL_CONFIG_OPERATOR_CONFIGURATION_HPP

#include <savorywheel/config/caller_limits.hpp>
#include <savorywheel/config/tenant_spec.hpp>
#include <savorywheel/config/virtual_host.hpp>
#include <savorywheel/core/config_version.hpp>

#include <string>
#include <vector>

namespace savorywheel {

/** @brief Complete configuration that operators store in one object of the platform's store. */
struct operator_configuration {
    /** @brief Version; increasing, but not necessarily consecutive. */
    config_version version;
    std::vector<service_name> services;
    /** @brief Virtual hosts with their routes. */
    std::vector<virtual_host> hosts;
    caller_limits limits;
    /** @brief Tenants; if there are any, requests on routes that are not public need an API key. */
    std::vector<tenant_spec> tenants;
    /**
     * @brief Routes of a kind that this release does not know, with their place; they are served as
     * non-idempotent. Not sent to other nodes.
     */
    std::vector<std::string> unknown_kinds;

    [[nodiscard]] friend bool operator==(const operator_configuration&,
                                         const operator_configuration&) = default;
};

} // namespace savorywheel

#endif
