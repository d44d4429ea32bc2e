#ifndef SAVORYWHEEL_TRANSPORT_DATAGRAM_CHANNEL_HPP
#define SAVORYWHEEL_TRANSPORT_DATAGRAM_CHANNEL_HPP

#include <savorywheel/core/network_endpoint.hpp>

#include <cstddef>
#include <span>

namespace savorywheel {

/** @brief Maximum datagram payload, in bytes; fits an Ethernet MTU of 1500 bytes. */
inline constexpr std::size_t max_datagram_bytes = 1400;

/** @brief Unreliable messages to other nodes; thread-safe. */
class datagram_channel {
public:
    datagram_channel() = default;
    datagram_channel(const datagram_channel&) = delete;
    datagram_channel& operator=(const datagram_channel&) = delete;
    datagram_channel(datagram_channel&&) = delete;
    datagram_channel& operator=(datagram_channel&&) = delete;
    virtual ~datagram_channel() = default;

    /**
     * @brief Sends a datagram, which may be lost, duplicated or delayed.
     * @param payload At most max_datagram_bytes.
     */
    virtual void send(const network_endpoint& peer, std::span<const std::byte> payload) = 0;
};

} // namespace savorywheel

#endif
