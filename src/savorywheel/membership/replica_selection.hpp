#ifndef SAVORYWHEEL_MEMBERSHIP_REPLICA_SELECTION_HPP
#define SAVORYWHEEL_MEMBERSHIP_REPLICA_SELECTION_HPP

#include <savorywheel/membership/member_table.hpp>

#include <cstddef>
#include <span>
#include <vector>

namespace savorywheel {

/** @brief Members that store a copy of what a node must know again after a restart. */
inline constexpr std::size_t replica_count = 4;

/**
 * @brief Selects the replicas of a node by rendezvous hashing.
 *
 * Nodes with equal member tables select the same replicas. Other failure domains are preferred, and
 * the replicas are spread over as many of them as possible. A node that joins or leaves changes the
 * selection only slightly.
 * @param self Owner of the replicated state.
 * @param include_dead True to include dead members.
 * @return At most replica_count members.
 */
[[nodiscard]] std::vector<member_record>
select_replicas(const member_record& self, const member_table& members, bool include_dead);

/**
 * @brief Selects among given members in the same way.
 * @param self Owner of the replicated state.
 * @param candidates Other members.
 * @param count Maximum number of members to select.
 */
[[nodiscard]] std::vector<member_record>
select_replicas(const member_record& self, std::span<const member_record* const> candidates,
                std::size_t count);

/** @return Acknowledgements needed before the state counts as replicated. */
[[nodiscard]] constexpr std::size_t write_quorum(std::size_t replicas) noexcept
{
    return (replicas + 1) / 2;
}

/** @return Responses needed to overlap with every write quorum. */
[[nodiscard]] constexpr std::size_t read_quorum(std::size_t replicas) noexcept
{
    return replicas - write_quorum(replicas) + 1;
}

} // namespace savorywheel

#endif
