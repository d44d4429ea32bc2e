#ifndef SAVORYWHEEL_DISTRIBUTION_CONFIRMATION_MESSAGE_HPP
#define SAVORYWHEEL_DISTRIBUTION_CONFIRMATION_MESSAGE_HPP

#include <savorywheel/core/configuration_head.hpp>
#include <savorywheel/core/network_endpoint.hpp>
#include <savorywheel/distribution/spread_tree.hpp>
#include <savorywheel/transport/frame_header.hpp>

#include <cstdint>

namespace savorywheel {

/**
 * @brief First byte of a confirmation_message.
 *
 * Tells it from a membership_message, whose first byte is the protocol version.
 */
inline constexpr std::uint8_t confirmation_protocol = 0x80U | protocol_version;

/** @brief What a confirmation_message says. */
enum class confirmation_purpose : std::uint8_t {
    confirm,  /**< The store had nothing beyond the head at the time of a read. */
    announce, /**< The origin has the head from a watch, which proves no time. */
    last_purpose = announce
};

/** @brief Datagram that spreads a store_confirmation, or a new head, to all nodes. */
struct confirmation_message {
    std::uint8_t protocol{confirmation_protocol};
    /** @brief Tree along which the message is passed on. */
    spread_tree tree{spread_tree::first};
    confirmation_purpose purpose{confirmation_purpose::confirm};
    /** @brief Random number that identifies the confirmation. */
    std::uint64_t id{};
    /** @brief Node that read the store, and its region. */
    spread_position origin;
    /** @brief Endpoint of the origin. */
    network_endpoint origin_peer;
    /** @brief Endpoint of the node that passed the message on. */
    network_endpoint sender_peer;
    /**
     * @brief Time since the read at the sender, in milliseconds; without the time in the network.
     * Zero in an announcement.
     */
    std::uint32_t age_ms{};
    /** @brief Revision of the store at the read; zero in an announcement. */
    std::uint64_t revision{};
    /** @brief Head of the origin's documents. */
    configuration_head head;
};

} // namespace savorywheel

#endif
