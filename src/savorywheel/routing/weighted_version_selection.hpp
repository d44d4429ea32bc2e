#ifndef SAVORYWHEEL_ROUTING_WEIGHTED_VERSION_SELECTION_HPP
#define SAVORYWHEEL_ROUTING_WEIGHTED_VERSION_SELECTION_HPP

#include <savorywheel/core/random_source.hpp>
#include <savorywheel/routing/service_routes.hpp>

#include <optional>
#include <span>

namespace savorywheel {

/**
 * @brief Draws a version by shares.
 * @param weights Shares.
 * @param routes Routes of the service; versions without an endpoint are left out.
 * @param random Random numbers.
 * @return The version; nothing if no version with a share has an endpoint.
 */
[[nodiscard]] std::optional<version_name>
select_version_by_weight(std::span<const version_weight> weights, const service_routes& routes,
                         random_source& random);

} // namespace savorywheel

#endif
