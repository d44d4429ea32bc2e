#ifndef SAVORYWHEEL_ROUTING_SPILLOVER_VERSION_HPP
#define SAVORYWHEEL_ROUTING_SPILLOVER_VERSION_HPP

#include <savorywheel/core/random_source.hpp>
#include <savorywheel/routing/service_routes.hpp>

#include <optional>

namespace savorywheel {

/**
 * @brief Chooses a version for a call that the version of its share has no room for.
 *
 * During a move the backend servers of the old version run on, and answer the load of a new version
 * that has got more calls than its backend servers can take. An override is not spilled over.
 * @return An old version; nothing if no move is in progress, or none of its servers is known.
 */
[[nodiscard]] std::optional<version_name> spillover_version(const service_routes& routes,
                                                            random_source& random);

} // namespace savorywheel

#endif
