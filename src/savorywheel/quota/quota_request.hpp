#ifndef SAVORYWHEEL_QUOTA_QUOTA_REQUEST_HPP
#define SAVORYWHEEL_QUOTA_QUOTA_REQUEST_HPP

#include <savorywheel/core/network_endpoint.hpp>
#include <savorywheel/quota/quota_request_item.hpp>
#include <savorywheel/transport/frame_header.hpp>

#include <cstdint>
#include <vector>

namespace savorywheel {

/** @brief First byte of a quota_request; differs from those of all other datagrams. */
inline constexpr std::uint8_t quota_request_protocol = 0x40U | protocol_version;

/** @brief Most tenants in a message, so that a request and its grant fit a datagram. */
inline constexpr std::size_t max_quota_items = 48;

/** @brief Datagram in which a node requests tokens from the coordinator of a shard. */
struct quota_request {
    std::uint8_t protocol{quota_request_protocol};
    std::uint32_t shard{};
    /** @brief Random number of the sending process. */
    std::uint64_t session{};
    /** @brief Increases with each request of the session to the shard; a retransmission keeps it.
     */
    std::uint64_t sequence{};
    /** @brief Endpoint of the sender for the grant. */
    network_endpoint sender_peer;
    /** @brief Ledger and time of the last grant that arrived; they bound the request's age. */
    std::uint64_t last_ledger{};
    std::uint32_t last_time_ms{};
    std::vector<quota_request_item> items;
};

} // namespace savorywheel

#endif
