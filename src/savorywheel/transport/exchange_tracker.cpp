#include <savorywheel/transport/exchange_tracker.hpp>

namespace savorywheel {

namespace {

bool is_request(frame_kind kind) noexcept
{
    return kind == frame_kind::call_request || kind == frame_kind::commit_fetch ||
           kind == frame_kind::membership_sync || kind == frame_kind::crash_reports ||
           kind == frame_kind::floor_put || kind == frame_kind::floor_get ||
           kind == frame_kind::configuration_get || kind == frame_kind::departure_copy;
}

bool is_response(frame_kind kind) noexcept
{
    return kind == frame_kind::call_response || kind == frame_kind::commit_batch ||
           kind == frame_kind::membership_full || kind == frame_kind::crash_acknowledged ||
           kind == frame_kind::floor_stored || kind == frame_kind::floor_value ||
           kind == frame_kind::configuration_value || kind == frame_kind::departure_copied;
}

} // namespace

void exchange_tracker::on_sent(frame_kind kind, std::uint64_t correlation, monotonic_time now)
{
    if (kind == frame_kind::heartbeat) {
        return;
    }
    last_activity_ = now;
    if (is_request(kind)) {
        outgoing_requests_.insert(correlation);
    }
    else if (is_response(kind)) {
        incoming_requests_.erase(correlation);
    }
    else if (kind == frame_kind::call_cancel) {
        outgoing_requests_.erase(correlation);
    }
}

void exchange_tracker::on_received(frame_kind kind, std::uint64_t correlation, monotonic_time now)
{
    if (kind == frame_kind::heartbeat) {
        return;
    }
    last_activity_ = now;
    if (is_request(kind)) {
        incoming_requests_.insert(correlation);
    }
    else if (is_response(kind)) {
        outgoing_requests_.erase(correlation);
    }
    else if (kind == frame_kind::call_cancel) {
        incoming_requests_.erase(correlation);
    }
}

} // namespace savorywheel
