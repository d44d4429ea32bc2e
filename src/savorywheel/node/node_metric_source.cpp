#include <savorywheel/metrics/metric_registry.hpp>
#include <savorywheel/node/node_metric_source.hpp>

#include <algorithm>
#include <array>
#include <string>

namespace savorywheel {

namespace {

constexpr std::array<std::pair<member_status, const char*>, 3> statuses{
    {{member_status::alive, "alive"},
     {member_status::suspect, "suspect"},
     {member_status::dead, "dead"}}};

} // namespace

void node_metric_source::collect(metric_registry& registry)
{
    collect_members(registry);
    collect_gate(registry);
    collect_routing(registry);
    collect_documents(registry);
}

/** Gauges of members keep their last values while the control thread does not answer. */
void node_metric_source::collect_members(metric_registry& registry)
{
    const auto state = environment_.view.dump();
    registry.gauge({"control_answers"}) = state ? 1 : 0;
    if (!state) {
        return;
    }
    for (const auto& [status, name] : statuses) {
        const auto count = std::ranges::count(state->members, status, &member_update::status);
        registry.gauge({"members", "status", name}) = static_cast<std::uint64_t>(count);
    }
}

void node_metric_source::collect_gate(metric_registry& registry)
{
    const auto& gate = environment_.backend_gate;
    registry.gauge({"gate_slots"}) = gate.slots();
    registry.gauge({"gate_running"}) = gate.running();
    registry.gauge({"gate_waiting"}) = gate.waiting();
    registry.gauge({"gate_silent"}) = gate.silent() ? 1 : 0;
    collect_queue(registry);
    for (std::size_t i = 1; i < call_refusal_count; ++i) {
        const auto reason = static_cast<call_refusal>(i);
        registry.count({"gate_refusals", "reason", std::string{label_of(reason)}}) =
            gate.refusals(reason);
    }
    for (std::size_t i = 0; i < response_class_count; ++i) {
        const auto kind = static_cast<response_class>(i);
        registry.count({"backend_responses", "class", std::string{label_of(kind)}}) =
            gate.responses(kind);
    }
}

void node_metric_source::collect_queue(metric_registry& registry)
{
    const auto counts = environment_.backend_gate.counts();
    for (std::size_t i = 0; i < counted_priorities; ++i) {
        const auto priority = std::to_string(i) + (i + 1 == counted_priorities ? "+" : "");
        registry.gauge({"gate_waiting_by_tenant_priority", "priority", priority}) =
            counts.waiting_by_tenant_priority.at(i);
        registry.gauge({"gate_waiting_by_priority", "priority", priority}) =
            counts.waiting_by_priority.at(i);
    }
    for (std::size_t i = 0; i < call_class_count; ++i) {
        const auto placement = static_cast<call_class>(i);
        registry.count({"gate_admitted", "class", std::string{label_of(placement)}}) =
            counts.admitted.at(i);
    }
    registry.count({"gate_removed", "cause", "displaced"}) = counts.displaced;
    registry.count({"gate_removed", "cause", "hopeless"}) = counts.hopeless;
    registry.gauge({"gate_abandoned"}) = counts.abandoned;
    registry.gauge({"gate_work_us"}) = counts.work_us;
}

void node_metric_source::collect_routing(metric_registry& registry)
{
    const auto table = environment_.tables.current();
    registry.gauge({"state_in_force"}) = table->version().number;
    registry.gauge({"operator_version_in_force"}) = table->operator_version().number;
    if (const auto age = environment_.keys.age(environment_.time); age != duration::max()) {
        const auto whole = std::chrono::duration_cast<std::chrono::milliseconds>(age);
        registry.gauge({"key_confirmation_age_ms"}) = static_cast<std::uint64_t>(whole.count());
    }
    for (const auto& [service, routes] : table->routes()) {
        registry.gauge({"backend_servers", "service", service.str()}) = routes->endpoints.size();
        registry.gauge({"retries_saved", "service", service.str()}) =
            environment_.retries.balance(service);
    }
}

void node_metric_source::collect_documents(metric_registry& registry)
{
    if (environment_.documents == nullptr) {
        return;
    }
    const auto& sent = *environment_.documents;
    registry.gauge({"documents_watched"}) = sent.watching.load();
    registry.count({"document_answers", "form", "whole"}) = sent.whole_answers.load();
    registry.count({"document_answers", "form", "delta"}) = sent.delta_answers.load();
    registry.count({"document_answer_bytes", "form", "whole"}) = sent.whole_bytes.load();
    registry.count({"document_answer_bytes", "form", "delta"}) = sent.delta_bytes.load();
}

} // namespace savorywheel
