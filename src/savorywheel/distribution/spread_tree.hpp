#ifndef SAVORYWHEEL_DISTRIBUTION_SPREAD_TREE_HPP
#define SAVORYWHEEL_DISTRIBUTION_SPREAD_TREE_HPP

#include <savorywheel/distribution/spread_position.hpp>
#include <savorywheel/distribution/spread_region.hpp>

#include <cstdint>
#include <span>
#include <vector>

namespace savorywheel {

/** @brief One of the two trees along which a message reaches all nodes. */
enum class spread_tree : std::uint8_t { first, second, last_tree = second };

/**
 * @brief Computes the nodes to which a node passes a message on.
 *
 * A message enters each region once in each tree and spreads there with the fan-out of
 * distribution_tree. A node that passes messages on in one tree is a leaf of the other one, unless
 * it is the origin, so the failure of one node separates no other node from both trees. Nodes with
 * the same members compute the same trees.
 * @param tree The tree along which the message arrived.
 * @param origin Node that sent the message first.
 * @param self Node whose receivers are computed.
 * @param regions All regions with live nodes.
 */
[[nodiscard]] std::vector<node_id> spread_children(spread_tree tree, const spread_position& origin,
                                                   const spread_position& self,
                                                   std::span<const spread_region> regions);

} // namespace savorywheel

#endif
