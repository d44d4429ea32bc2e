#ifndef SAVORYWHEEL_ROLLOUT_EVIDENCE_TREE_HPP
#define SAVORYWHEEL_ROLLOUT_EVIDENCE_TREE_HPP

#include <savorywheel/core/names.hpp>

#include <cstddef>
#include <span>
#include <vector>

namespace savorywheel {

/** @brief Number of nodes that receive the evidence of a service and compete for its lease. */
inline constexpr std::size_t controllers_per_service = 2;

/** @brief Number of nodes that aggregate evidence and send it to the controllers. */
inline constexpr std::size_t inner_collectors_per_service = 6;

/** @brief Number of nodes that aggregate evidence from callers' nodes for the inner collectors. */
inline constexpr std::size_t leaf_collectors_per_service = 36;

/** @brief Smallest mesh, in nodes, that aggregates evidence before the controllers. */
inline constexpr std::size_t min_aggregated_mesh_size = 200;

/**
 * @brief Aggregation tree that routes the evidence of one service to its controllers.
 *
 * Roles are assigned by rendezvous hashing of service and node, so that all nodes compute the same
 * tree from the same members, and the load of different services falls on different nodes. In a
 * small mesh every node sends directly to the controllers.
 */
class evidence_tree {
public:
    /**
     * @param members Live nodes.
     */
    evidence_tree(const service_name& service, std::span<const node_id> members);

    /** @return Nodes that may control the service's moves. */
    [[nodiscard]] std::span<const node_id> controllers() const noexcept;

    /** @return True if the node may control the service's moves. */
    [[nodiscard]] bool is_controller(const node_id& node) const noexcept;

    /** @return True if the node receives evidence as a controller or a collector. */
    [[nodiscard]] bool is_receiver(const node_id& node) const noexcept;

    /** @return Nodes to which a node sends its evidence; for a controller, all controllers
     * including itself. */
    [[nodiscard]] std::vector<node_id> targets_of(const node_id& node) const;

private:
    [[nodiscard]] std::size_t rank_of(const node_id& node) const noexcept;

    std::vector<node_id> ranked_;
};

} // namespace savorywheel

#endif
