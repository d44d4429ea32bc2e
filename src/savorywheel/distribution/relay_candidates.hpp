#ifndef SAVORYWHEEL_DISTRIBUTION_RELAY_CANDIDATES_HPP
#define SAVORYWHEEL_DISTRIBUTION_RELAY_CANDIDATES_HPP

#include <savorywheel/membership/member_table.hpp>

#include <cstddef>

namespace savorywheel {

/** @brief Nodes of a failure domain that compete for its relay lease. */
inline constexpr std::size_t relay_candidate_count = 3;

/**
 * @brief Returns whether a node competes for the relay lease of its failure domain.
 *
 * Only a few nodes per failure domain read the lease, so that the request rate of the store grows
 * more slowly than the mesh. Nodes with different member tables may select different candidates;
 * the lease then arbitrates between them.
 * @param self Record of the node in question.
 */
[[nodiscard]] bool is_relay_candidate(const member_record& self, const member_table& members);

} // namespace savorywheel

#endif
