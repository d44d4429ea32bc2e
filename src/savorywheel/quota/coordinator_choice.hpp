#ifndef SAVORYWHEEL_QUOTA_COORDINATOR_CHOICE_HPP
#define SAVORYWHEEL_QUOTA_COORDINATOR_CHOICE_HPP

#include <savorywheel/membership/member_table.hpp>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace savorywheel {

/** @brief Nodes that compete for the lease of a shard of the tenants. */
inline constexpr std::size_t coordinator_candidate_count = 2;

/**
 * @brief Returns whether a node competes for the lease of a shard.
 *
 * The candidates are the live members that can reach the store and rank highest by a hash of node
 * and shard, so that shards are spread evenly and few change when a member joins or leaves. Nodes
 * with different member tables may select different ones; the lease arbitrates between them.
 * @param self Record of the node in question.
 */
[[nodiscard]] bool is_coordinator_candidate(std::uint32_t shard, const member_record& self,
                                            const member_table& members);

/** @return Endpoints of the candidates for a shard, the highest rank first. */
[[nodiscard]] std::vector<network_endpoint> coordinator_candidates(std::uint32_t shard,
                                                                   const member_table& members);

} // namespace savorywheel

#endif
