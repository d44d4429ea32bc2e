#ifndef SAVORYWHEEL_DISTRIBUTION_DISTRIBUTION_TREE_HPP
#define SAVORYWHEEL_DISTRIBUTION_DISTRIBUTION_TREE_HPP

#include <savorywheel/core/names.hpp>

#include <cstddef>
#include <span>
#include <vector>

namespace savorywheel {

/** @brief Maximum children per node. */
inline constexpr std::size_t tree_fan_out = 6;

/**
 * @brief Computes the children of a node in the distribution tree of a root.
 *
 * Members are ordered by a hash of the root and their id, so every node computes the same tree from
 * the same members, and different roots put the forwarding load on different nodes.
 * @param self Node whose children are computed.
 * @param members Nodes of the tree; may include root and self.
 * @return At most tree_fan_out children.
 */
[[nodiscard]] std::vector<node_id> tree_children(const node_id& root, const node_id& self,
                                                 std::span<const node_id> members);

} // namespace savorywheel

#endif
