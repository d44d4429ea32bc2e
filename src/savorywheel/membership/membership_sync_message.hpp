#ifndef SAVORYWHEEL_MEMBERSHIP_MEMBERSHIP_SYNC_MESSAGE_HPP
#define SAVORYWHEEL_MEMBERSHIP_MEMBERSHIP_SYNC_MESSAGE_HPP

#include <savorywheel/membership/member_update.hpp>

#include <cstdint>
#include <vector>

namespace savorywheel {

/**
 * @brief Part of an exchange of member records between two nodes.
 *
 * The first one carries the sender's bucket digests; the answer names the buckets that differ and
 * carries their records; the last one carries the first sender's records of those buckets.
 */
struct membership_sync_message {
    /** @brief Digests of the sender's buckets; empty in an answer and in the last message. */
    std::vector<std::uint64_t> digests;
    /** @brief Buckets that differ; only in an answer. */
    std::vector<std::uint16_t> differing;
    /** @brief True if the receiver has too much to do and the sender shall ask another node. */
    bool refused{};
    /** @brief Records of members. */
    std::vector<member_update> members;
};

} // namespace savorywheel

#endif
