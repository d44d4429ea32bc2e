#ifndef SAVORYWHEEL_ROUTING_WEIGHTED_VERSION_SELECTION_HPP
#define SAVORYWHEEL_ROUTING_WEIGHTED_VERSION_SELECTION_HPP

#include <savorywheel/core/random_source.hpp>
#include <savorywheel/routing/service_routes.hpp>

#include <optional>
#include <span>

namespace savorywheel {

/**
 * @brief Selects a version at random by weight.
 * @param weights Weights; if empty, versions are selected in proportion to their endpoints.
 * @param routes Routes of the service; versions without an endpoint are skipped.
 * @param random Random number source.
 * @return The version; std::nullopt if no version with a weight has an endpoint.
 */
[[nodiscard]] std::optional<version_name>
select_version_by_weight(std::span<const version_weight> weights, const service_routes& routes,
                         random_source& random);

} // namespace savorywheel

#endif
