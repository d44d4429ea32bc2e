#ifndef SAVORYWHEEL_TRANSPORT_FRAME_KIND_HPP
#define SAVORYWHEEL_TRANSPORT_FRAME_KIND_HPP

#include <cstdint>

namespace savorywheel {

/** @brief Message type of a frame; the number is part of the wire format. */
enum class frame_kind : std::uint8_t {
    heartbeat,           /**< Empty; keep-alive whose correlation is the sender's clock. */
    call_request,        /**< A caller's request for a backend server. */
    call_response,       /**< Response to call_request. */
    call_cancel,         /**< Cancels a call_request whose response is no longer needed. */
    commit_push,         /**< New commits, sent to children in the distribution tree. */
    commit_fetch,        /**< Requests the commits after a version. */
    commit_batch,        /**< Response to commit_fetch. */
    membership_sync,     /**< The sender's member records; requests those of the receiver. */
    membership_full,     /**< Response to membership_sync. */
    floor_put,           /**< Stores the lowest version that the sender may use at a replica. */
    floor_stored,        /**< Response to floor_put. */
    floor_get,           /**< Requests the lowest version stored by floor_put. */
    floor_value,         /**< Response to floor_get. */
    evidence_report,     /**< Call results, for the rollout controller. */
    withdrawal_push,     /**< A withdrawal notice, broadcast between nodes. */
    crash_reports,       /**< Names requests that were running when backend servers crashed. */
    crash_acknowledged,  /**< Response to crash_reports. */
    head_get,            /**< Empty; requests the version in force at the receiver. */
    head_value,          /**< Response to head_get. */
    configuration_get,   /**< Requests the documents of operators. */
    configuration_value, /**< Response to configuration_get. */
    departure_copy,      /**< Departures at one node, which others keep for it or send back. */
    departure_copied,    /**< Response to departure_copy. */
    last_kind = departure_copied
};

} // namespace savorywheel

#endif
