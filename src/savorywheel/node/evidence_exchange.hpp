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
 * @brief Brings evidence to the nodes that may control a service's move.
 * @warning All members are for the control thread.
 */
class evidence_exchange {
public:
    /** @brief What the exchange works with; all must outlive it. */
    struct environment {
        /** @brief Streams to peers. */
        peer_network& network;
        /** @brief Gives the member records. */
        std::function<const member_table&()> members;
    };

    /**
     * @param self This node.
     * @param env What the exchange works with.
     */
    evidence_exchange(node_id self, environment env);

    /** @brief Forgets who controls which service. */
    void on_members_changed()
    {
        trees_.clear();
        live_.clear();
    }

    /** @return True if this node may control the service's moves. */
    [[nodiscard]] bool is_candidate(const service_name& service);

    /**
     * @brief Sends evidence on its way to the controllers.
     * @param service Service.
     * @param evidence What this node saw; what it added up for others goes with it.
     */
    void send(const service_name& service, std::span<const route_evidence> evidence);

    /** @brief Takes a peer's report; evidence that is none of its business is dropped. */
    void receive(const evidence_report& report);

    /** @return Evidence of a service that this node may control. */
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
