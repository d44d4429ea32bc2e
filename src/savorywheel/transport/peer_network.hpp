#ifndef SAVORYWHEEL_TRANSPORT_PEER_NETWORK_HPP
#define SAVORYWHEEL_TRANSPORT_PEER_NETWORK_HPP

#include <savorywheel/core/network_endpoint.hpp>
#include <savorywheel/transport/frame_sink.hpp>

#include <memory>

namespace savorywheel {

/** @brief Connections to other nodes; thread-safe. */
class peer_network {
public:
    peer_network() = default;
    peer_network(const peer_network&) = delete;
    peer_network& operator=(const peer_network&) = delete;
    peer_network(peer_network&&) = delete;
    peer_network& operator=(peer_network&&) = delete;
    virtual ~peer_network() = default;

    /**
     * @brief Returns the connection to a peer, opening one if there is none.
     * @param peer The peer's endpoint.
     * @return The connection; frames are queued until it is open.
     */
    [[nodiscard]] virtual std::shared_ptr<frame_sink>
    connection_to(const network_endpoint& peer) = 0;
};

} // namespace savorywheel

#endif
