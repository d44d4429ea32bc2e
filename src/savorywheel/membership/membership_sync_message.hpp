#ifndef SAVORYWHEEL_MEMBERSHIP_MEMBERSHIP_SYNC_MESSAGE_HPP
#define SAVORYWHEEL_MEMBERSHIP_MEMBERSHIP_SYNC_MESSAGE_HPP

#include <savorywheel/membership/member_update.hpp>

#include <cstdint>
#include <vector>

namespace savorywheel {

/**
 * @brief Message of a synchronization of member records between two nodes.
 *
 * The request carries the sender's bucket digests. The response lists the buckets that differ and
 * carries their records. The final message carries the requester's records of those buckets.
 */
struct membership_sync_message {
    /** @brief Digests of the sender's buckets; empty in the response and the final message. */
    std::vector<std::uint64_t> digests;
    /** @brief Indexes of the buckets that differ; only in the response. */
    std::vector<std::uint16_t> differing;
    /** @brief True if the responder is overloaded and the requester must try another node. */
    bool refused{};
    std::vector<member_update> members;
};

} // namespace savorywheel

#endif
