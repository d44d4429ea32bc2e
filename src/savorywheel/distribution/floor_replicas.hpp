#ifndef SAVORYWHEEL_DISTRIBUTION_FLOOR_REPLICAS_HPP
#define SAVORYWHEEL_DISTRIBUTION_FLOOR_REPLICAS_HPP

#include <savorywheel/membership/member_table.hpp>

#include <cstddef>
#include <vector>

namespace savorywheel {

/** @brief Nodes with which a node leaves its floor. */
inline constexpr std::size_t floor_replica_count = 4;

/**
 * @brief Chooses the nodes that remember a node's floor.
 *
 * Every node comes to the same choice for equal member tables. Nodes of other failure domains come
 * first, each of another one as far as there are enough; a node that joins or leaves changes
 * little.
 * @param self Record of the node whose floor it is.
 * @param members Members.
 * @param include_dead True to count dead members too.
 * @return At most floor_replica_count members.
 */
[[nodiscard]] std::vector<member_record>
floor_replicas(const member_record& self, const member_table& members, bool include_dead);

/** @return Acknowledgements that make a floor safe with a number of buddies. */
[[nodiscard]] constexpr std::size_t floor_write_quorum(std::size_t replicas) noexcept
{
    return (replicas + 1) / 2;
}

/** @return Answers that must include one of any write quorum. */
[[nodiscard]] constexpr std::size_t floor_read_quorum(std::size_t replicas) noexcept
{
    return replicas - floor_write_quorum(replicas) + 1;
}

} // namespace savorywheel

#endif
