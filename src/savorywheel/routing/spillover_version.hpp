#ifndef SAVORYWHEEL_ROUTING_SPILLOVER_VERSION_HPP
#define SAVORYWHEEL_ROUTING_SPILLOVER_VERSION_HPP

#include <savorywheel/core/random_source.hpp>
#include <savorywheel/routing/service_routes.hpp>

#include <optional>

namespace savorywheel {

/**
 * @brief Selects the version for a call that the version selected by weight has no capacity for.
 *
 * During a rollout move the backend servers of the old version keep running and absorb the load
 * that exceeds the capacity of the new version. Services with an override don't spill over.
 * @return An old version; std::nullopt if no move is in progress or no old version has an endpoint.
 */
[[nodiscard]] std::optional<version_name> spillover_version(const service_routes& routes,
                                                            random_source& random);

} // namespace savorywheel

#endif
