#include <savorywheel/http/http_header.hpp>
#include <savorywheel/traffic/proxy_call_log.hpp>

#include <string>

namespace savorywheel {

void proxy_call_log::log_answered(const call_context& context, int status)
{
    call_log_.write_sampled(event_id::call_answered, context.call.request_id,
                            context.call.service.str(), [&] {
                                auto fields = fields_of(context);
                                fields.push_back({"status", std::to_string(status)});
                                return fields;
                            });
}

void proxy_call_log::log_rejected(const call_context& context, const rejection& cause)
{
    const auto event =
        cause.may_have_run() ? event_id::call_outcome_unknown : event_id::call_not_run;
    call_log_.write(event, cause.reason, [&] {
        auto fields = fields_of(context);
        fields.push_back({"status", std::to_string(cause.status())});
        fields.push_back({"cause", std::string{label_of(cause.kind)}});
        if (cause.kind == rejection_kind::no_route) {
            const auto host = find_header(context.call.request.headers, "Host");
            fields.push_back({"host", std::string{host}});
            fields.push_back({"host_routes", std::to_string(context.table->routes_of(host))});
        }
        if (cause.retry_after) {
            fields.push_back({"retry_after_ms", std::to_string(cause.retry_after->count())});
        }
        return fields;
    });
}

void proxy_call_log::log_retried(const call_context& context, const call_response& outcome)
{
    call_log_.write(event_id::call_retried, outcome.reason, [&] {
        auto fields = fields_of(context);
        fields.push_back({"result", std::string{to_string(outcome.result)}});
        return fields;
    });
}

std::vector<log_field> proxy_call_log::fields_of(const call_context& context) const
{
    std::vector<log_field> fields{{"request", context.call.request_id},
                                  {"target", context.call.request.target}};
    if (context.table) {
        fields.push_back({"state", std::to_string(context.table->version().number)});
        const auto operator_version = context.table->operator_version();
        if (operator_version != config_version{}) {
            fields.push_back({"operator_version", std::to_string(operator_version.number)});
        }
    }
    if (context.route == nullptr) {
        return fields;
    }
    fields.push_back({"route", context.route->path});
    fields.push_back({"service", context.call.service.str()});
    fields.push_back({"version", context.call.version.str()});
    fields.push_back({"nodes_tried", std::to_string(context.tried_nodes.size())});
    fields.push_back({"servers_reached", std::to_string(context.servers_reached)});
    fields.push_back(
        {"node", context.tried_nodes.empty() ? std::string{} : context.tried_nodes.back().str()});
    fields.push_back({"elapsed_ms", format_milliseconds(time_.now() - context.started)});
    fields.push_back({"allowed_ms", format_milliseconds(context.deadline - context.started)});
    return fields;
}

} // namespace savorywheel
