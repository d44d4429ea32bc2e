#ifndef SAVORYWHEEL_LOG_EVENT_ID_HPP
#define SAVORYWHEEL_LOG_EVENT_ID_HPP

#include <cstdint>

namespace savorywheel {

/** @brief Identifies a log event; the numbers are stable and listed in docs/LOGS.md. */
enum class event_id : std::uint16_t {
    process_started = 1001,
    process_stopping = 1002,
    process_stopped = 1003,
    settings_rejected = 1004,
    settings_reloaded = 1005,
    task_failed = 1006,
    configuration_in_force = 2001,
    relay_lease_gained = 2002,
    relay_lease_lost = 2003,
    store_unreachable = 2004,
    store_reachable = 2005,
    floor_known = 2006,
    floor_replication_delayed = 2007,
    floor_replication_skipped = 2008,
    commit_invalid = 2009,
    stream_malformed = 2010,
    datagram_malformed = 2011,
    peer_input_dropped = 2012,
    configuration_invalid = 2013,
    configuration_fetch_failed = 2014,
    directory_unreachable = 2015,
    directory_entry_unreadable = 2016,
    store_object_unreadable = 2017,
    announcement_invalid = 2018,
    route_kind_unknown = 2019,
    member_alive = 3001,
    member_suspect = 3002,
    member_dead = 3003,
    backend_announced = 3004,
    backend_lost = 3005,
    backend_deregistered = 3006,
    backend_silent = 3007,
    backend_responsive = 3008,
    call_not_run = 4001,
    call_outcome_unknown = 4002,
    call_frame_malformed = 4003,
    backend_crashed = 4004,
    crashing_request_refused = 4005,
    call_answered = 4006,
    call_retried = 4007,
    gate_refused = 4008,
    gate_no_response = 4009,
    gate_response = 4010,
    call_log_lines_dropped = 4011,
    gate_failure = 4012,
    http_request_rejected = 4013,
    http_library_error = 4014,
    change_accepted = 5001,
    change_refused = 5002,
    change_outcome_unknown = 5003,
    operator_rejected = 5004,
    admin_request_malformed = 5005,
    operation_settled = 5006,
    rollout_step = 6001,
    rollout_done = 6002,
    rollout_withdrawn = 6003,
    rollout_commit_refused = 6004,
    version_ejected = 6005,
    withdrawal_notice_received = 6006,
    override_to_faulty_version = 6007,
    controller_lease_gained = 6008,
    controller_lease_lost = 6009,
    commit_rewritten = 6010,
    override_by_unknown_author = 6011,
    predecessor_evidence_unreadable = 6012
};

} // namespace savorywheel

#endif
