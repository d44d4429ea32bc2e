#include <savorywheel/traffic/proxy_journal.hpp>

#include <string>

namespace savorywheel {

void proxy_journal::answered(const call_plan& item, int status)
{
    calls_.write_sampled(event_id::call_answered, item.call.request_id, item.call.service.str(),
                         [&] {
                             auto fields = fields_of(item);
                             fields.push_back({"status", std::to_string(status)});
                             return fields;
                         });
}

void proxy_journal::rejected(const call_plan& item, const rejection& why)
{
    const auto event = why.may_have_run() ? event_id::call_outcome_unknown : event_id::call_not_run;
    calls_.write(event, why.reason, [&] {
        auto fields = fields_of(item);
        fields.push_back({"status", std::to_string(why.status())});
        if (why.retry_after) {
            fields.push_back({"retry_after_ms", std::to_string(why.retry_after->count())});
        }
        return fields;
    });
}

void proxy_journal::repeated(const call_plan& item, const call_response& outcome)
{
    calls_.write(event_id::call_repeated, outcome.reason, [&] {
        auto fields = fields_of(item);
        fields.push_back({"result", std::string{to_string(outcome.result)}});
        return fields;
    });
}

std::vector<log_field> proxy_journal::fields_of(const call_plan& item) const
{
    std::vector<log_field> fields{{"request", item.call.request_id},
                                  {"target", item.call.request.target}};
    if (item.table) {
        fields.push_back({"state", std::to_string(item.table->version().number)});
    }
    if (item.route == nullptr) {
        return fields;
    }
    fields.push_back({"route", item.route->path});
    fields.push_back({"service", item.call.service.str()});
    fields.push_back({"version", item.call.version.str()});
    fields.push_back({"nodes_tried", std::to_string(item.tried.size())});
    fields.push_back({"servers_reached", std::to_string(item.servers_reached)});
    fields.push_back({"node", item.tried.empty() ? std::string{} : item.tried.back().str()});
    fields.push_back({"elapsed_ms", in_milliseconds(time_.now() - item.started)});
    fields.push_back({"allowed_ms", in_milliseconds(item.deadline - item.started)});
    return fields;
}

} // namespace savorywheel
