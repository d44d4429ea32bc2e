#ifndef SAVORYWHEEL_ROUTING_WEIGHTED_SERVICE_SELECTION_HPP
#define SAVORYWHEEL_ROUTING_WEIGHTED_SERVICE_SELECTION_HPP

#include <savorywheel/config/service_share.hpp>
#include <savorywheel/core/random_source.hpp>

#include <span>

namespace savorywheel {

/**
 * @brief Selects one of the services that a route is split between, at random by weight.
 * @param shares Services with their weights.
 * @param random Random number source.
 * @return The service; nullptr if the sum of the weights is zero.
 */
[[nodiscard]] const service_name* select_service_by_weight(std::span<const service_share> shares,
                                                           random_source& random);

} // namespace savorywheel

#endif
