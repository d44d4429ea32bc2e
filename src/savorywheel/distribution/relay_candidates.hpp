#ifndef SAVORYWHEEL_DISTRIBUTION_RELAY_CANDIDATES_HPP
#define SAVORYWHEEL_DISTRIBUTION_RELAY_CANDIDATES_HPP

#include <savorywheel/membership/member_table.hpp>

#include <cstddef>

namespace savorywheel {

/** @brief Nodes of a failure domain that compete for the lease on relaying into it. */
inline constexpr std::size_t relay_candidate_count = 3;

/**
 * @brief Tells whether a node shall compete for its failure domain's lease.
 *
 * Only a few nodes read the lease in the store, whose rate of calls grows more slowly than the
 * mesh. The lease itself decides between nodes whose member tables differ.
 * @param self Record of the node.
 * @param members Members.
 */
[[nodiscard]] bool is_relay_candidate(const member_record& self, const member_table& members);

} // namespace savorywheel

#endif
