#ifndef SAVORYWHEEL_QUOTA_QUOTA_GRANT_HPP
#define SAVORYWHEEL_QUOTA_QUOTA_GRANT_HPP

#include <savorywheel/core/network_endpoint.hpp>
#include <savorywheel/quota/quota_grant_item.hpp>
#include <savorywheel/transport/frame_header.hpp>

#include <cstdint>
#include <vector>

namespace savorywheel {

/** @brief First byte of a quota_grant; differs from those of all other datagrams. */
inline constexpr std::uint8_t quota_grant_protocol = 0x60U | protocol_version;

/** @brief Datagram that answers a quota_request. */
struct quota_grant {
    std::uint8_t protocol{quota_grant_protocol};
    std::uint32_t shard{};
    /** @brief Session and sequence of the request. */
    std::uint64_t session{};
    std::uint64_t sequence{};
    /** @brief Random number of the ledger that decided; zero if the sender is no coordinator. */
    std::uint64_t ledger{};
    /** @brief Time of the decision since the start of the ledger. */
    std::uint32_t time_ms{};
    /** @brief Where the sender believes the coordinator is; port 0 if it does not know. */
    network_endpoint coordinator;
    std::vector<quota_grant_item> items;
};

} // namespace savorywheel

#endif
