#ifndef SAVORYWHEEL_TRANSPORT_FRAME_KIND_HPP
#define SAVORYWHEEL_TRANSPORT_FRAME_KIND_HPP

#include <cstdint>

namespace savorywheel {

/** @brief Meaning of a frame's payload. */
enum class frame_kind : std::uint8_t {
    heartbeat,           /**< Empty; shows that the connection still carries data. */
    call_request,        /**< A caller's request for a backend server. */
    call_response,       /**< The answer to a call_request. */
    call_cancel,         /**< The caller no longer wants the answer. */
    commit_push,         /**< New commits, sent down the distribution tree. */
    commit_fetch,        /**< Asks for the commits after a version. */
    commit_batch,        /**< The answer to a commit_fetch. */
    membership_sync,     /**< The sender's member records; asks for the receiver's. */
    membership_full,     /**< The answer to a membership_sync. */
    floor_put,           /**< Asks a peer to remember the lowest version that the sender may use. */
    floor_stored,        /**< The answer to a floor_put. */
    floor_get,           /**< Asks a peer what it remembers. */
    floor_value,         /**< The answer to a floor_get. */
    evidence_report,     /**< Results of calls, for the rollout controller. */
    withdrawal_push,     /**< A withdrawal notice, spread between nodes. */
    crash_report,        /**< A request was running when a backend server crashed. */
    crash_acknowledged,  /**< The answer to a crash_report. */
    head_get,            /**< Empty; asks for the version in force at the receiver. */
    head_value,          /**< The answer to a head_get. */
    configuration_get,   /**< Empty; asks for the newest configuration of operators. */
    configuration_value, /**< The answer to a configuration_get. */
    last_kind = configuration_value
};

} // namespace savorywheel

#endif
