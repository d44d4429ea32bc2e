#ifndef SAVORYWHEEL_NODE_NODE_METRIC_SOURCE_HPP
#define SAVORYWHEEL_NODE_NODE_METRIC_SOURCE_HPP

#include <savorywheel/admin/node_control.hpp>
#include <savorywheel/metrics/metric_source.hpp>
#include <savorywheel/node/document_counters.hpp>
#include <savorywheel/routing/routing_table_holder.hpp>
#include <savorywheel/traffic/gate.hpp>
#include <savorywheel/traffic/key_confirmation.hpp>
#include <savorywheel/traffic/retry_budget.hpp>

namespace savorywheel {

/** @brief Collects metrics of the membership, the gate and the routing table of a node. */
class node_metric_source final : public metric_source {
public:
    /** @brief Dependencies; all must outlive the source. */
    struct environment {
        node_control& view;
        /** @brief Forwards calls to the backend server on this VM. */
        const gate& backend_gate;
        retry_budget& retries;
        /** @brief Provides the routing table in force. */
        const routing_table_holder& tables;
        /** @brief Proven time of the API keys. */
        const key_confirmation& keys;
        const clock& time;
        /** @brief Documents sent to peers; nullptr without documents of operators. */
        const document_counters* documents{};
    };

    /** @param env Dependencies. */
    explicit node_metric_source(environment env) noexcept : environment_{env} {}

    void collect(metric_registry& registry) override;

private:
    void collect_members(metric_registry& registry);
    void collect_gate(metric_registry& registry);
    void collect_queue(metric_registry& registry);
    void collect_routing(metric_registry& registry);
    void collect_documents(metric_registry& registry);

    environment environment_;
};

} // namespace savorywheel

#endif
