#include <savorywheel/transport/traffic_class.hpp>

namespace savorywheel {

traffic_class traffic_class_of(frame_kind kind) noexcept
{
    switch (kind) {
    case frame_kind::heartbeat:
        return traffic_class::heartbeat;
    case frame_kind::call_request:
    case frame_kind::call_response:
    case frame_kind::call_cancel:
    case frame_kind::crash_reports:
    case frame_kind::crash_acknowledged:
        return traffic_class::call;
    case frame_kind::head_get:
    case frame_kind::head_value:
    case frame_kind::commit_push:
    case frame_kind::commit_fetch:
    case frame_kind::commit_batch:
    case frame_kind::configuration_get:
    case frame_kind::configuration_value:
        return traffic_class::commit;
    case frame_kind::membership_sync:
    case frame_kind::membership_full:
    case frame_kind::departure_copy:
    case frame_kind::departure_copied:
        return traffic_class::membership;
    case frame_kind::floor_put:
    case frame_kind::floor_stored:
    case frame_kind::floor_get:
    case frame_kind::floor_value:
        return traffic_class::floor;
    case frame_kind::evidence_report:
    case frame_kind::withdrawal_push:
        return traffic_class::evidence;
    }
    return traffic_class::evidence;
}

std::string_view to_string(traffic_class item) noexcept
{
    switch (item) {
    case traffic_class::probe:
        return "probe";
    case traffic_class::heartbeat:
        return "heartbeat";
    case traffic_class::call:
        return "call";
    case traffic_class::commit:
        return "commit";
    case traffic_class::membership:
        return "membership";
    case traffic_class::floor:
        return "floor";
    case traffic_class::evidence:
        return "evidence";
    }
    return "unknown";
}

} // namespace savorywheel
