#include <savorywheel/http/http_status.hpp>
#include <savorywheel/traffic/gate_call_log.hpp>

#include <string>
#include <vector>

namespace savorywheel {

namespace {

/** The state usually lasts for many calls, whose own lines would be dropped for it. */
constexpr std::chrono::seconds held_log_period{1};

} // namespace

void gate_call_log::log_refused(const gate_call& item, const call_response& response)
{
    call_log_.write(event_id::gate_refused, response.reason, [&] {
        std::vector<log_field> fields{
            {"request", item.call.request_id},
            {"service", item.call.service.str()},
            {"version", item.call.version.str()},
            {"rank", std::to_string(item.call.priority)},
            {"tenant", item.call.tenant.str()},
            {"tenant_rank", std::to_string(item.call.tenant_priority)},
            {"left_ms", format_milliseconds(item.deadline - time_.now())},
            {"preferred_ms", std::to_string(item.call.target_remaining.count())},
            {"expected_ms", format_milliseconds(item.expected.mean)}};
        if (response.load) {
            fields.push_back({"running", std::to_string(response.load->running)});
            fields.push_back({"waiting", std::to_string(response.load->waiting)});
            fields.push_back({"work_ms", format_milliseconds(response.load->work)});
            fields.push_back({"service_ms", format_milliseconds(response.load->service_time)});
        }
        return fields;
    });
}

void gate_call_log::log_removed(event_id cause, const gate_call& item)
{
    call_log_.write(cause, item.call.service.str(), [&] {
        return std::vector<log_field>{
            {"request", item.call.request_id},
            {"tenant", item.call.tenant.str()},
            {"tenant_rank", std::to_string(item.call.tenant_priority)},
            {"rank", std::to_string(item.call.priority)},
            {"waited_ms", format_milliseconds(time_.now() - item.arrived)},
            {"left_ms", format_milliseconds(item.deadline - time_.now())},
            {"expected_ms", format_milliseconds(item.expected.mean)}};
    });
}

void gate_call_log::log_held()
{
    const auto now = time_.now();
    auto last = held_logged_at_.load();
    if (now < last + held_log_period || !held_logged_at_.compare_exchange_strong(last, now)) {
        return;
    }
    call_log_.write(event_id::slots_held_by_abandoned_calls, "no slot is free",
                    [] { return std::vector<log_field>{}; });
}

void gate_call_log::log_finished(const gate_call& item, const backend_server& backend,
                                 const call_response& response)
{
    const auto fields = [&] {
        std::vector<log_field> result{
            {"request", item.call.request_id},
            {"backend", backend.identity},
            {"waited_ms", format_milliseconds(item.started - item.arrived)},
            {"ran_ms", format_milliseconds(time_.now() - item.started)},
            {"status", std::to_string(item.received ? item.received->status : 0)},
            {"result", std::string{to_string(response.result)}}};
        if (item.received) {
            const auto& origin = item.received->origin;
            result.push_back({"names", std::string{to_string(origin.request)}});
            result.push_back({"signed", origin.is_signed ? "yes" : "no"});
        }
        return result;
    };
    if (response.result == call_result::unknown) {
        call_log_.write(event_id::gate_no_response, response.reason, fields);
        return;
    }
    if (item.received && !is_success(item.received->status)) {
        call_log_.write(event_id::gate_failure, backend.service.str(), fields);
        return;
    }
    call_log_.write_sampled(event_id::gate_response, item.call.request_id, backend.service.str(),
                            fields);
}

} // namespace savorywheel
