#ifndef SAVORYWHEEL_ROLLOUT_EVIDENCE_TREE_HPP
#define SAVORYWHEEL_ROLLOUT_EVIDENCE_TREE_HPP

#include <savorywheel/core/names.hpp>

#include <cstddef>
#include <span>
#include <vector>

namespace savorywheel {

/** @brief Nodes that receive the evidence of a service and compete for its lease. */
inline constexpr std::size_t controllers_per_service = 2;

/** @brief Nodes that add evidence up right before the controllers. */
inline constexpr std::size_t inner_collectors_per_service = 6;

/** @brief Nodes that add evidence up before the collectors; the callers' nodes send to them. */
inline constexpr std::size_t leaf_collectors_per_service = 36;

/** @brief Size of the mesh from which evidence is added up on its way. */
inline constexpr std::size_t min_aggregated_mesh_size = 200;

/**
 * @brief The way that the evidence of one service takes to its controllers.
 *
 * Roles go to nodes by rendezvous hashing of service and node, so that each node computes the same
 * tree from the same members, and services load different nodes. In a small mesh every node sends
 * to the controllers.
 */
class evidence_tree {
public:
    /**
     * @param service Service.
     * @param members Nodes that answer.
     */
    evidence_tree(const service_name& service, std::span<const node_id> members);

    /** @return Nodes that may control the service's moves. */
    [[nodiscard]] std::span<const node_id> controllers() const noexcept;

    /** @return True if the node may control the service's moves. */
    [[nodiscard]] bool is_controller(const node_id& node) const noexcept;

    /** @return True if the node receives evidence of others: to control, or to add it up. */
    [[nodiscard]] bool is_receiver(const node_id& node) const noexcept;

    /** @return Nodes to which a node sends what it saw or added up; itself if it controls. */
    [[nodiscard]] std::vector<node_id> targets_of(const node_id& node) const;

private:
    [[nodiscard]] std::size_t rank_of(const node_id& node) const noexcept;

    std::vector<node_id> ranked_;
};

} // namespace savorywheel

#endif
