#ifndef SAVORYWHEEL_DISTRIBUTION_DISTRIBUTION_TREE_HPP
#define SAVORYWHEEL_DISTRIBUTION_DISTRIBUTION_TREE_HPP

#include <savorywheel/core/names.hpp>

#include <cstddef>
#include <span>
#include <vector>

namespace savorywheel {

/** @brief Nodes to which one node passes on a change. */
inline constexpr std::size_t tree_fan_out = 6;

/**
 * @brief Gives the children of a node in the tree of a root.
 *
 * The members are ordered by a hash of the root and themselves, so that each node computes the
 * same tree from the same members, and different roots load different nodes.
 * @param root Root of the tree.
 * @param self The node that passes on.
 * @param members Nodes of the tree; root and self may be among them.
 * @return The children, at most tree_fan_out.
 */
[[nodiscard]] std::vector<node_id> tree_children(const node_id& root, const node_id& self,
                                                 std::span<const node_id> members);

} // namespace savorywheel

#endif
