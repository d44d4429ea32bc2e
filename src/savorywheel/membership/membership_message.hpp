#ifndef SAVORYWHEEL_MEMBERSHIP_MEMBERSHIP_MESSAGE_HPP
#define SAVORYWHEEL_MEMBERSHIP_MEMBERSHIP_MESSAGE_HPP

#include <savorywheel/core/config_version.hpp>
#include <savorywheel/core/names.hpp>
#include <savorywheel/core/network_endpoint.hpp>
#include <savorywheel/membership/member_update.hpp>

#include <cstdint>
#include <vector>

namespace savorywheel {

/** @brief What a membership datagram asks or tells. */
enum class membership_kind : std::uint8_t {
    ping,         /**< Asks the receiver for an ack. */
    ack,          /**< Answers a ping. */
    ping_request, /**< Asks the receiver to ping the target for the sender. */
    last_kind = ping_request
};

/** @brief Datagram between two nodes. */
struct membership_message {
    /** @brief Version of the protocol. */
    std::uint8_t protocol{};
    /** @brief What it asks or tells. */
    membership_kind kind{membership_kind::ping};
    /** @brief Pairs an ack with its ping. */
    std::uint64_t sequence{};
    /** @brief The sending node. */
    node_id sender;
    /** @brief Where the sender is reached. */
    network_endpoint sender_peer;
    /** @brief Whom to ping; only in a ping_request. */
    network_endpoint target;
    /** @brief Configuration version that the sender has. */
    config_version head;
    /** @brief Digest of the sender's member records, to notice lost updates. */
    std::uint64_t table_digest{};
    /** @brief News about members. */
    std::vector<member_update> updates;
};

} // namespace savorywheel

#endif
