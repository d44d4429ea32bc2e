#include <savorywheel/explain/request_story.hpp>

#include <fmt/format.h>

#include <algorithm>

namespace savorywheel {

namespace {

constexpr std::string_view gateway_timeout = "504";

bool is_end(event_id event) noexcept
{
    return event == event_id::call_not_run || event == event_id::call_outcome_unknown ||
           event == event_id::call_answered;
}

bool is_inner(std::string_view id, std::string_view outer) noexcept
{
    return id.size() > outer.size() && id.starts_with(outer) && id[outer.size()] == '.';
}

} // namespace

void request_story::add(const log_line& line)
{
    const auto request = line.field("request");
    if (request != id_ && !is_inner(request, id_)) {
        return;
    }
    const auto place = std::ranges::upper_bound(lines_, line.time, {}, &log_line::time);
    lines_.insert(place, line);
}

std::string request_story::verdict() const
{
    if (const auto* end = end_of(id_)) {
        return tell(id_, *end) + inner_call();
    }
    if (lines_.empty()) {
        return "No line is about this request: it went well and is not in the sample, or its lines "
               "were dropped (SW4011), or it reached no node.";
    }
    return "No node wrote how the request ended: its caller's node failed, or its line was dropped "
           "(SW4011)." +
           at_backend(id_) + inner_call();
}

const log_line* request_story::end_of(std::string_view id) const
{
    const auto found = std::find_if(lines_.rbegin(), lines_.rend(), [id](const log_line& line) {
        return line.field("request") == id && is_end(line.event);
    });
    return found == lines_.rend() ? nullptr : &*found;
}

const log_line* request_story::last_of(std::string_view id, event_id event) const
{
    const auto found = std::find_if(lines_.rbegin(), lines_.rend(), [&](const log_line& line) {
        return line.field("request") == id && line.event == event;
    });
    return found == lines_.rend() ? nullptr : &*found;
}

std::string request_story::tell(std::string_view id, const log_line& end) const
{
    const auto where =
        fmt::format("{} ms after it reached {}", end.field("elapsed_ms"), end.field("process"));
    const auto tried = fmt::format("{} nodes were tried, {} backend servers reached.",
                                   end.field("nodes_tried"), end.field("servers_reached"));
    if (end.event == event_id::call_not_run) {
        return fmt::format("Refused as not run {}: {}; {}", where, end.field("detail"), tried) +
               at_gate(id);
    }
    if (end.event == event_id::call_answered) {
        return fmt::format("Answered with {} {}.", end.field("status"), where) + at_backend(id);
    }
    if (end.field("status") == gateway_timeout) {
        return fmt::format("Timed out: it ended {}, of {} ms allowed: {}; {}", where,
                           end.field("allowed_ms"), end.field("detail"), tried) +
               at_backend(id) + at_gate(id);
    }
    return fmt::format("No complete response, and it may have run; it ended {}: {}; {}", where,
                       end.field("detail"), tried) +
           at_backend(id);
}

std::string request_story::at_backend(std::string_view id) const
{
    const auto* line = last_of(id, event_id::gate_unanswered);
    if (line == nullptr) {
        line = last_of(id, event_id::gate_answered);
    }
    if (line == nullptr) {
        return {};
    }
    const auto result = line->event == event_id::gate_answered
                            ? fmt::format("status {}", line->field("status"))
                            : std::string{line->field("detail")};
    return fmt::format(" At {} it waited {} ms and ran {} ms at backend server {}: {}.",
                       line->field("process"), line->field("waited_ms"), line->field("ran_ms"),
                       line->field("backend"), result);
}

std::string request_story::at_gate(std::string_view id) const
{
    const auto* line = last_of(id, event_id::gate_refused);
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
std::string request_story::inner_call() const
{
    for (const auto& line : lines_) {
        const auto request = line.field("request");
        if (is_inner(request, id_) && is_end(line.event) && line.event != event_id::call_answered) {
            return fmt::format(" A call of its backend server to {} failed. {}",
                               line.field("service"), tell(request, line));
        }
    }
    return {};
}

} // namespace savorywheel
