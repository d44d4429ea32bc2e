#ifndef SAVORYWHEEL_ROLLOUT_CONTROLLER_CANDIDATES_HPP
#define SAVORYWHEEL_ROLLOUT_CONTROLLER_CANDIDATES_HPP

#include <savorywheel/core/names.hpp>

#include <cstddef>
#include <span>
#include <vector>

namespace savorywheel {

/** @brief Nodes that receive the evidence of a service and compete for its lease. */
inline constexpr std::size_t controllers_per_service = 2;

/**
 * @brief Chooses the nodes that may control a service's move, by rendezvous hashing.
 * @param service Service.
 * @param members Nodes that answer.
 * @return The nodes, at most controllers_per_service.
 */
[[nodiscard]] std::vector<node_id> controller_candidates(const service_name& service,
                                                         std::span<const node_id> members);

} // namespace savorywheel

#endif
