#ifndef SAVORYWHEEL_TRAFFIC_PEER_CALL_TRANSPORT_HPP
#define SAVORYWHEEL_TRAFFIC_PEER_CALL_TRANSPORT_HPP

#include <savorywheel/traffic/call_transport.hpp>
#include <savorywheel/transport/peer_network.hpp>
#include <savorywheel/transport/request_client.hpp>

namespace savorywheel {

/** @brief Sends calls over the stream connections between nodes. */
class peer_call_transport final : public call_transport {
public:
    /**
     * @param network Connections; must outlive the transport.
     * @param requests Matches responses to calls; must outlive the transport.
     * @param time Clock; must outlive the transport.
     */
    peer_call_transport(peer_network& network, request_client& requests, const clock& time) noexcept
        : network_{network}, requests_{requests}, time_{time}
    {
    }

    [[nodiscard]] call_response call(const network_endpoint& peer, const call_request& call,
                                     monotonic_time deadline) override;
    [[nodiscard]] call_response call_until_cancelled(const network_endpoint& peer,
                                                     const call_request& call,
                                                     monotonic_time deadline,
                                                     cancellation& cancel_signal) override;

private:
    peer_network& network_;
    request_client& requests_;
    const clock& time_;
};

} // namespace savorywheel

#endif
