#ifndef SAVORYWHEEL_MEMBERSHIP_MEMBERSHIP_MESSAGE_HPP
#define SAVORYWHEEL_MEMBERSHIP_MEMBERSHIP_MESSAGE_HPP

#include <savorywheel/core/configuration_head.hpp>
#include <savorywheel/core/names.hpp>
#include <savorywheel/core/network_endpoint.hpp>
#include <savorywheel/membership/member_update.hpp>

#include <cstdint>
#include <limits>
#include <vector>

namespace savorywheel {

/** @brief Age that stands for no proven time. */
inline constexpr std::uint32_t no_proven_age_ms = std::numeric_limits<std::uint32_t>::max();

/** @brief Type of a membership datagram. */
enum class membership_kind : std::uint8_t {
    ping,         /**< Requests an ack from the receiver. */
    ack,          /**< Response to a ping. */
    ping_request, /**< Requests an indirect probe of the target by the receiver. */
    last_kind = ping_request
};

/** @brief Membership datagram between two nodes. */
struct membership_message {
    /** @brief Protocol version; messages of another version are dropped. */
    std::uint8_t protocol{};
    membership_kind kind{membership_kind::ping};
    /** @brief Matches an ack to its ping. */
    std::uint64_t sequence{};
    node_id sender;
    /** @brief Endpoint of the sender for responses. */
    network_endpoint sender_peer;
    /** @brief Endpoint to probe; only set in a ping_request. */
    network_endpoint target;
    /** @brief Summary of the sender's configuration. */
    configuration_head head;
    /** @brief Digest of the sender's member table, for detection of lost updates. */
    std::uint64_t table_digest{};
    /**
     * @brief Age of the sender's proven time, rounded up; only set in an ack.
     *
     * Everything that the store had acknowledged by the proven time is in the sender's
     * configuration, whose version the head states.
     */
    std::uint32_t proven_age_ms{no_proven_age_ms};
    /** @brief Gossiped member updates. */
    std::vector<member_update> updates;
};

} // namespace savorywheel

#endif
