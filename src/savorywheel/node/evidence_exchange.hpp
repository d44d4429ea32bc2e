#ifndef SAVORYWHEEL_NODE_EVIDENCE_EXCHANGE_HPP
#define SAVORYWHEEL_NODE_EVIDENCE_EXCHANGE_HPP

#include <savorywheel/membership/member_table.hpp>
#include <savorywheel/rollout/evidence_report.hpp>
#include <savorywheel/rollout/evidence_table.hpp>
#include <savorywheel/rollout/evidence_tree.hpp>
#include <savorywheel/transport/peer_network.hpp>

#include <functional>
#include <map>
#include <span>
#include <vector>

namespace savorywheel {

/**
 * @brief Routes call evidence to the nodes that may control a service's traffic move.
 * @warning Not thread-safe; call all members on the control thread.
 */
class evidence_exchange {
public:
    /** @brief Dependencies; all must outlive the exchange. */
    struct environment {
        /** @brief Stream connections to peers. */
        peer_network& network;
        /** @brief Returns the member table. */
        std::function<const member_table&()> members;
    };

    /**
     * @param self Id of this node.
     * @param env Dependencies.
     */
    evidence_exchange(node_id self, environment env);

    /** @brief Invalidates the cached trees. */
    void on_members_changed()
    {
        trees_.clear();
        live_.clear();
    }

    /** @return True if this node may control the service's traffic moves. */
    [[nodiscard]] bool is_candidate(const service_name& service);

    /**
     * @brief Sends evidence one step up the tree towards the controllers.
     * @param service Service with a traffic move.
     * @param evidence Evidence of this node. Unless this node may control the moves, pending
     * evidence of other nodes is merged into the message.
     */
    void send(const service_name& service, std::span<const route_evidence> evidence);

    /** @brief Merges a peer's report; drops evidence of services not routed through this node. */
    void receive(const evidence_report& report);

    /** @brief Removes and returns the pending evidence of a service that this node may control. */
    [[nodiscard]] std::vector<route_evidence> collect(const service_name& service);

private:
    [[nodiscard]] const evidence_tree& tree_of(const service_name& service);

    node_id self_;
    environment environment_;
    std::vector<node_id> live_;
    std::map<service_name, evidence_tree> trees_;
    evidence_table pending_;
};

} // namespace savorywheel

#endif
