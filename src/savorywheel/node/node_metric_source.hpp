#ifndef SAVORYWHEEL_NODE_NODE_METRIC_SOURCE_HPP
#define SAVORYWHEEL_NODE_NODE_METRIC_SOURCE_HPP

#include <savorywheel/admin/node_control.hpp>
#include <savorywheel/metrics/metric_source.hpp>
#include <savorywheel/routing/routing_table_holder.hpp>
#include <savorywheel/traffic/gate.hpp>
#include <savorywheel/traffic/retry_budget.hpp>

namespace savorywheel {

/** @brief What a node knows and how busy its gate is, as metrics. */
class node_metric_source final : public metric_source {
public:
    /** @brief What the source reads; all must outlive it. */
    struct environment {
        /** @brief Control state. */
        node_control& view;
        /** @brief The way to the backend server. */
        const gate& backend_gate;
        /** @brief Retries. */
        retry_budget& retries;
        /** @brief Table in force. */
        const routing_table_holder& tables;
    };

    /** @param env What the source reads. */
    explicit node_metric_source(environment env) noexcept : environment_{env} {}

    void collect(metric_registry& registry) override;

private:
    void collect_members(metric_registry& registry);
    void collect_gate(metric_registry& registry);
    void collect_routing(metric_registry& registry);

    environment environment_;
};

} // namespace savorywheel

#endif
