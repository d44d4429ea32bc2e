#include <savorywheel/log/event_catalogue.hpp>

#include <algorithm>
#include <array>

namespace savorywheel {

namespace {

constexpr auto info = event_severity::info;
constexpr auto warning = event_severity::warning;
constexpr auto error = event_severity::error;

constexpr std::array catalogue{
    event_description{event_id::process_started, info, "The process is ready to serve."},
    event_description{event_id::process_stopping, info,
                      "The process accepts no new work and drains the work in progress."},
    event_description{event_id::process_stopped, info, "The process has drained and exits."},
    event_description{event_id::settings_rejected, error,
                      "The settings are invalid and were rejected."},
    event_description{event_id::settings_reloaded, info, "The settings were reloaded."},
    event_description{event_id::task_failed, error,
                      "An unexpected error ended a task of a thread; the process goes on."},
    event_description{event_id::configuration_in_force, info,
                      "A newer configuration version is in force at this node."},
    event_description{event_id::relay_lease_gained, info,
                      "This node now relays changes into its failure domain."},
    event_description{event_id::relay_lease_lost, warning,
                      "This node no longer relays changes into its failure domain."},
    event_description{event_id::store_unreachable, warning,
                      "The platform's store does not respond to this node."},
    event_description{event_id::store_reachable, info,
                      "The platform's store responds to this node again."},
    event_description{
        event_id::floor_known, info,
        "This node has determined its floor, the lowest configuration version it may use."},
    event_description{
        event_id::floor_replication_delayed, warning,
        "Too few replicas acknowledged this node's floor; a newer version is not yet in force."},
    event_description{
        event_id::floor_replication_skipped, warning,
        "No other node is alive; a version is in force without replicas of its floor."},
    event_description{
        event_id::commit_invalid, error,
        "A commit in the store is invalid; it and all later commits are not applied."},
    event_description{event_id::stream_malformed, warning,
                      "Input on a connection violated the protocol; the connection was closed."},
    event_description{event_id::datagram_malformed, warning,
                      "A datagram violated the protocol and was ignored."},
    event_description{event_id::peer_input_dropped, warning,
                      "The queue for input from peers is full; some input was dropped."},
    event_description{event_id::configuration_invalid, error,
                      "The operators' configuration is invalid and is not applied."},
    event_description{event_id::configuration_fetch_failed, warning,
                      "Fetching a newer configuration from a peer failed."},
    event_description{event_id::directory_unreachable, warning,
                      "The node directory in the platform's store is unavailable."},
    event_description{event_id::directory_entry_unreadable, warning,
                      "An entry of the node directory cannot be decoded and is skipped."},
    event_description{event_id::store_object_unreadable, warning,
                      "An object in the store has no readable name or revision and is skipped."},
    event_description{event_id::announcement_invalid, warning,
                      "An announcement is invalid, or contradicts the settings of this VM, and "
                      "was rejected."},
    event_description{event_id::route_kind_unknown, warning,
                      "A route is of a kind unknown to this release and is served as "
                      "non-idempotent."},
    event_description{event_id::watch_silent, warning,
                      "A watch of the platform's store got no response in time; the objects are "
                      "read on another connection."},
    event_description{event_id::peer_ahead, info,
                      "A peer has newer documents of the operators than this node."},
    event_description{event_id::check_repeated, info,
                      "A check of the platform's store got no response in time and is repeated on "
                      "another connection."},
    event_description{event_id::documents_unconfirmed, warning,
                      "No node has confirmed with the platform's store that this node's documents "
                      "are the newest."},
    event_description{event_id::documents_confirmed, info,
                      "The documents of this node are confirmed with the platform's store again."},
    event_description{event_id::keys_unconfirmed, warning,
                      "This node cannot tell whether API keys are still in force; requests with a "
                      "key are refused."},
    event_description{event_id::keys_confirmed, info,
                      "The API keys of this node are confirmed again; requests with a key are "
                      "accepted."},
    event_description{event_id::documents_watched, info,
                      "This node watches the documents in the platform's store."},
    event_description{event_id::documents_not_watched, info,
                      "This node no longer watches the documents; other nodes tell it of changes."},
    event_description{event_id::document_delta_refused, warning,
                      "A peer sent changes to another configuration than this node's; the whole "
                      "configuration is fetched."},
    event_description{event_id::watch_renewed, info,
                      "Other nodes heard of a change that a watch of this node did not deliver; it "
                      "is renewed on another connection."},
    event_description{
        event_id::documents_asked_by_datagram, info,
        "Peers with newer documents do not answer on their streams in time; this node "
        "asks in datagrams as well."},
    event_description{event_id::store_restored, warning,
                      "The platform's store was restored from a backup; this node writes its "
                      "entries again."},
    event_description{event_id::older_configuration_kept, warning,
                      "The restored store has an older configuration than this node; the newer one "
                      "stays in force."},
    event_description{event_id::rollout_record_kept, warning,
                      "The restored store has an older record of a rollout than this node; the "
                      "newer one stays in force."},
    event_description{event_id::rollout_record_rewritten, info,
                      "The record of a rollout was written again to the restored store."},
    event_description{event_id::member_alive, info, "A node joined or responds again."},
    event_description{event_id::member_suspect, info, "A node did not respond to a probe."},
    event_description{event_id::member_dead, warning, "A node failed or left."},
    event_description{event_id::backend_announced, info,
                      "A backend server announced itself to this node."},
    event_description{event_id::backend_lost, warning,
                      "The announcements of this node's backend server timed out."},
    event_description{event_id::backend_deregistered, info,
                      "This node's backend server deregistered."},
    event_description{event_id::backend_silent, warning,
                      "This node's backend server responds to none of its calls."},
    event_description{event_id::backend_responsive, info,
                      "This node's backend server responds again."},
    event_description{event_id::departures_unknown, warning,
                      "The departures of backend servers before this start cannot be read from the "
                      "platform's store."},
    event_description{event_id::departure_not_recorded, warning,
                      "A departure of a backend server cannot be written to the platform's store."},
    event_description{event_id::departures_restored, info,
                      "The departures of backend servers before this start are known."},
    event_description{event_id::announcement_displaced, info,
                      "An announcement was not applied, since another start of a backend server is "
                      "in use."},
    event_description{event_id::departures_copied, info,
                      "Other nodes keep the departures of backend servers while the platform's "
                      "store does not answer."},
    event_description{event_id::departures_not_copied, warning,
                      "A departure of a backend server is not acknowledged, since the platform's "
                      "store does not answer and too few other nodes are known."},
    event_description{event_id::call_not_run, warning, "A call was refused; it was not run."},
    event_description{event_id::call_outcome_unknown, warning,
                      "A call got no whole answer; it may have been run."},
    event_description{event_id::call_frame_malformed, warning,
                      "A node sent a frame that is not a valid call; its connection was closed."},
    event_description{event_id::backend_crashed, error,
                      "A backend server crashed while it ran this request."},
    event_description{event_id::crashing_request_refused, warning,
                      "A request that crashed two backend servers was refused."},
    event_description{event_id::call_answered, info, "A call was answered by a backend server."},
    event_description{event_id::call_retried, info,
                      "A call goes to another backend server after one did not answer it."},
    event_description{event_id::gate_refused, info, "The gate refused a call; it was not run."},
    event_description{event_id::gate_no_response, warning,
                      "The backend server gave no answer that can be passed on."},
    event_description{event_id::gate_response, info,
                      "The backend server answered a call or reported that it was not run."},
    event_description{event_id::call_log_lines_dropped, warning,
                      "Calls failed faster than the limit on log lines; some lines were dropped."},
    event_description{event_id::gate_failure, info,
                      "The backend server answered with a status other than 200 to 299."},
    event_description{event_id::http_request_rejected, warning,
                      "The HTTP server rejected a request before it was routed."},
    event_description{event_id::http_library_error, warning,
                      "The HTTP library reported an error; it may have sent a response."},
    event_description{event_id::api_key_rejected, warning,
                      "Requests had no API key, or one that belongs to no tenant."},
    event_description{event_id::queued_call_displaced, info,
                      "A queued call was refused because the queue is full and a call of higher "
                      "rank arrived."},
    event_description{event_id::queued_call_hopeless, info,
                      "A queued call was refused because it can no longer finish in time."},
    event_description{event_id::slots_held_by_abandoned_calls, warning,
                      "All slots are held by calls that were given up and may still run."},
    event_description{event_id::caller_evicted, warning,
                      "A caller's connection was closed to serve other callers."},
    event_description{event_id::caller_refused_for_memory, warning,
                      "A request was refused for lack of memory; it was not run."},
    event_description{event_id::caller_header_timeout, warning,
                      "A caller did not complete the header of a request in time."},
    event_description{event_id::caller_connection_refused, warning,
                      "A new connection was closed because too many are open."},
    event_description{event_id::change_accepted, info, "A change of configuration was accepted."},
    event_description{event_id::change_refused, info, "A change of configuration was refused."},
    event_description{event_id::change_outcome_unknown, warning,
                      "The outcome of a change is not known yet."},
    event_description{event_id::operator_rejected, warning,
                      "An administration request had no valid operator key."},
    event_description{event_id::admin_request_malformed, warning,
                      "An administration request was malformed; nothing was changed."},
    event_description{event_id::operation_settled, info,
                      "An operator requested the outcome of an operation."},
    event_description{event_id::rollout_step, info, "A step of a move was accepted."},
    event_description{event_id::rollout_done, info, "A move completed."},
    event_description{event_id::rollout_withdrawn, warning,
                      "A move was withdrawn; the old weights are in force."},
    event_description{event_id::rollout_commit_refused, info,
                      "A step was not accepted because of a conflicting change."},
    event_description{event_id::version_ejected, warning,
                      "This node sends no traffic to a new version because its own calls to it "
                      "fail or are slow."},
    event_description{event_id::withdrawal_notice_received, warning,
                      "A new version receives no traffic; its withdrawal is not yet committed."},
    event_description{event_id::override_to_faulty_version, error,
                      "An override sends traffic to a version that fails or is slow."},
    event_description{event_id::controller_lease_gained, info,
                      "This node now controls the moves of a service."},
    event_description{event_id::controller_lease_lost, info,
                      "This node no longer controls the moves of a service."},
    event_description{event_id::commit_rewritten, error,
                      "An accepted commit was modified in the platform's store."},
    event_description{event_id::override_by_unknown_author, warning,
                      "An override with an unknown author was published for a modified commit."},
    event_description{event_id::predecessor_evidence_unreadable, warning,
                      "The evidence left by the previous controller of a move cannot be decoded."},
    event_description{event_id::version_suspected, warning,
                      "A new version is suspected of a fault; its share does not grow."},
    event_description{event_id::suspicion_ended, info,
                      "A new version is no longer suspected of a fault."},
    event_description{event_id::quota_lease_gained, info,
                      "This node now coordinates the quotas of a shard of the tenants."},
    event_description{event_id::quota_lease_lost, info,
                      "This node no longer coordinates the quotas of a shard of the tenants."},
    event_description{event_id::quota_unknown, warning,
                      "No coordinator answers for a shard of the tenants; requests beyond the "
                      "tokens at hand get 503."},
    event_description{event_id::quota_known, info,
                      "A coordinator answers for a shard of the tenants again."},
};

} // namespace

std::span<const event_description> event_catalogue() noexcept
{
    return catalogue;
}

const event_description& describe(event_id id) noexcept
{
    const auto* found = std::ranges::find(catalogue, id, &event_description::id);
    return found == catalogue.end() ? catalogue.front() : *found;
}

} // namespace savorywheel
