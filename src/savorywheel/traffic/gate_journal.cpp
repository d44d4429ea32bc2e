#include <savorywheel/traffic/gate_journal.hpp>

#include <string>
#include <vector>

namespace savorywheel {

void gate_journal::refused(const gate_call& item, const call_response& response)
{
    calls_.write(event_id::gate_refused, response.reason, [&] {
        std::vector<log_field> fields{
            {"request", item.call.request_id},
            {"service", item.call.service.str()},
            {"version", item.call.version.str()},
            {"rank", std::to_string(item.call.priority)},
            {"left_ms", in_milliseconds(item.deadline - time_.now())},
            {"preferred_ms", std::to_string(item.call.preferred.count())}};
        if (response.load) {
            fields.push_back({"running", std::to_string(response.load->running)});
            fields.push_back({"waiting", std::to_string(response.load->waiting)});
            fields.push_back({"service_ms", in_milliseconds(response.load->service_time)});
        }
        return fields;
    });
}

void gate_journal::ran(const gate_call& item, const backend_server& backend,
                       const call_response& response)
{
    const auto fields = [&] {
        return std::vector<log_field>{{"request", item.call.request_id},
                                      {"backend", backend.identity},
                                      {"waited_ms", in_milliseconds(item.started - item.arrived)},
                                      {"ran_ms", in_milliseconds(time_.now() - item.started)},
                                      {"status", std::to_string(response.response.status)},
                                      {"result", std::string{to_string(response.result)}}};
    };
    if (response.result == call_result::unknown) {
        calls_.write(event_id::gate_unanswered, response.reason, fields);
        return;
    }
    calls_.write_sampled(event_id::gate_answered, item.call.request_id, backend.service.str(),
                         fields);
}

} // namespace savorywheel
