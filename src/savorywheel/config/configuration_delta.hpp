#ifndef SAVORYWHEEL_CONFIG_CONFIGURATION_DELTA_HPP
#define SAVORYWHEEL_CONFIG_CONFIGURATION_DELTA_HPP

#include <savorywheel/config/host_delta.hpp>
#include <savorywheel/config/operator_configuration.hpp>
#include <savorywheel/core/outcome.hpp>

#include <cstdint>

namespace savorywheel {

/** @brief Difference between two configurations; contains only what was changed or added. */
struct configuration_delta {
    /** @brief Version to which the difference applies. */
    config_version base_version;
    /** @brief Revision of that version; one version may be written several times. */
    std::uint64_t base_revision{};
    config_version version;
    list_delta<service_name> services;
    list_delta<host_delta> hosts;
    caller_limits limits;
    list_delta<tenant_spec> tenants;
};

/**
 * @brief Computes the difference between two configurations.
 *
 * Takes time in proportion to the number of routes, tenants and services.
 * @param base Configuration that the receiver has.
 * @param base_revision Revision of that configuration.
 * @param target Configuration that the receiver is to have.
 */
[[nodiscard]] configuration_delta make_configuration_delta(const operator_configuration& base,
                                                           std::uint64_t base_revision,
                                                           const operator_configuration& target);

/**
 * @brief Applies a difference; untrusted, as it may come from a faulty peer.
 * @param base Configuration that this node has.
 * @param base_revision Revision of that configuration.
 * @param delta The difference.
 * @return The new configuration, without unknown kinds; conflict if the difference is one from
 * another configuration, malformed if it does not fit this one.
 */
[[nodiscard]] outcome<operator_configuration>
apply_configuration_delta(const operator_configuration& base, std::uint64_t base_revision,
                          const configuration_delta& delta);

} // namespace savorywheel

#endif
