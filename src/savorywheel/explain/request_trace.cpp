#include <savorywheel/explain/request_trace.hpp>

#include <fmt/format.h>

#include <algorithm>

namespace savorywheel {

namespace {

constexpr std::string_view gateway_timeout = "504";

bool is_end_event(event_id event) noexcept
{
    return event == event_id::call_not_run || event == event_id::call_outcome_unknown ||
           event == event_id::call_answered;
}

bool is_nested(std::string_view id, std::string_view parent) noexcept
{
    return id.size() > parent.size() && id.starts_with(parent) && id[parent.size()] == '.';
}

} // namespace

void request_trace::add(const log_line& line)
{
    const auto request = line.field("request");
    if (request != id_ && !is_nested(request, id_)) {
        return;
    }
    const auto position = std::ranges::upper_bound(lines_, line.time, {}, &log_line::time);
    lines_.insert(position, line);
}

std::string request_trace::conclusion() const
{
    if (const auto* end = find_end(id_)) {
        return describe_end(id_, *end) + describe_failed_nested_call();
    }
    if (lines_.empty()) {
        return "No line is about this request: it went well and is not in the sample, or its lines "
               "were dropped (SW4011), or it reached no node.";
    }
    return "No node wrote how the request ended: its caller's node failed, or its line was dropped "
           "(SW4011)." +
           describe_backend(id_) + describe_failed_nested_call();
}

const log_line* request_trace::find_end(std::string_view id) const
{
    const auto found = std::find_if(lines_.rbegin(), lines_.rend(), [id](const log_line& line) {
        return line.field("request") == id && is_end_event(line.event);
    });
    return found == lines_.rend() ? nullptr : &*found;
}

const log_line* request_trace::find_last(std::string_view id, event_id event) const
{
    const auto found = std::find_if(lines_.rbegin(), lines_.rend(), [&](const log_line& line) {
        return line.field("request") == id && line.event == event;
    });
    return found == lines_.rend() ? nullptr : &*found;
}

std::string request_trace::describe_end(std::string_view id, const log_line& end) const
{
    const auto timing =
        fmt::format("{} ms after it reached {}", end.field("elapsed_ms"), end.field("process"));
    const auto attempts = fmt::format("{} nodes were tried, {} backend servers reached.",
                                      end.field("nodes_tried"), end.field("servers_reached"));
    if (end.event == event_id::call_not_run) {
        return fmt::format("Refused as not run {}: {}; {}", timing, end.field("detail"), attempts) +
               describe_gate_refusal(id);
    }
    if (end.event == event_id::call_answered) {
        return fmt::format("Answered with {} {}.", end.field("status"), timing) +
               describe_backend(id);
    }
    if (end.field("status") == gateway_timeout) {
        return fmt::format("Timed out: it ended {}, of {} ms allowed: {}; {}", timing,
                           end.field("allowed_ms"), end.field("detail"), attempts) +
               describe_backend(id) + describe_gate_refusal(id);
    }
    return fmt::format("No complete response, and it may have run; it ended {}: {}; {}", timing,
                       end.field("detail"), attempts) +
           describe_backend(id);
}

std::string request_trace::describe_backend(std::string_view id) const
{
    const auto* line = find_last(id, event_id::gate_no_response);
    if (line == nullptr) {
        line = find_last(id, event_id::gate_failure);
    }
    if (line == nullptr) {
        line = find_last(id, event_id::gate_response);
    }
    if (line == nullptr) {
        return {};
    }
    const auto result = line->event == event_id::gate_no_response
                            ? std::string{line->field("detail")}
                            : fmt::format("status {}", line->field("status"));
    return fmt::format(" At {} it waited {} ms and ran {} ms at backend server {}: {}.",
                       line->field("process"), line->field("waited_ms"), line->field("ran_ms"),
                       line->field("backend"), result);
}

std::string request_trace::describe_gate_refusal(std::string_view id) const
{
    const auto* line = find_last(id, event_id::gate_refused);
    if (line == nullptr) {
        return {};
    }
    return fmt::format(
        " The gate at {} refused it ({}) with {} ms left, {} calls running, {} waiting and {} ms a "
        "call.",
        line->field("process"), line->field("detail"), line->field("left_ms"),
        line->field("running"), line->field("waiting"), line->field("service_ms"));
}

/** Reports the first nested call that failed, which is often why the request itself failed. */
std::string request_trace::describe_failed_nested_call() const
{
    for (const auto& line : lines_) {
        const auto request = line.field("request");
        if (is_nested(request, id_) && is_end_event(line.event) &&
            line.event != event_id::call_answered) {
            return fmt::format(" A call of its backend server to {} failed. {}",
                               line.field("service"), describe_end(request, line));
        }
    }
    return {};
}

} // namespace savorywheel
