#ifndef SAVORYWHEEL_DISTRIBUTION_FLOOR_REPLICAS_HPP
#define SAVORYWHEEL_DISTRIBUTION_FLOOR_REPLICAS_HPP

#include <savorywheel/membership/member_table.hpp>

#include <cstddef>
#include <vector>

namespace savorywheel {

/** @brief Replicas of a node's version floor, the lowest configuration version it may use. */
inline constexpr std::size_t floor_replica_count = 4;

/**
 * @brief Selects the replicas of a node's version floor by rendezvous hashing.
 *
 * Nodes with equal member tables select the same replicas. Other failure domains are preferred, and
 * the replicas are spread over as many of them as possible. A node that joins or leaves changes the
 * selection only slightly.
 * @param self Owner of the floor.
 * @param include_dead True to include dead members.
 * @return At most floor_replica_count members.
 */
[[nodiscard]] std::vector<member_record>
floor_replicas(const member_record& self, const member_table& members, bool include_dead);

/** @return Acknowledgements needed before a floor counts as replicated. */
[[nodiscard]] constexpr std::size_t floor_write_quorum(std::size_t replicas) noexcept
{
    return (replicas + 1) / 2;
}

/** @return Responses needed to overlap with every write quorum. */
[[nodiscard]] constexpr std::size_t floor_read_quorum(std::size_t replicas) noexcept
{
    return replicas - floor_write_quorum(replicas) + 1;
}

} // namespace savorywheel

#endif
