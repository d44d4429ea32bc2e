#ifndef SAVORYWHEEL_NODE_MEMBERSHIP_SERVICE_HPP
#define SAVORYWHEEL_NODE_MEMBERSHIP_SERVICE_HPP

#include <savorywheel/core/control_loop.hpp>
#include <savorywheel/core/event_quota.hpp>
#include <savorywheel/membership/swim_agent.hpp>
#include <savorywheel/transport/datagram_channel.hpp>
#include <savorywheel/transport/frame_handler.hpp>
#include <savorywheel/transport/peer_network.hpp>
#include <savorywheel/transport/request_client.hpp>

#include <memory>
#include <vector>

namespace savorywheel {

/**
 * @brief Connects the SWIM agent to the datagram and stream transports.
 * @warning Call all members on the control thread, except on_frame(), on_closed() and
 * on_datagram().
 */
class membership_service final : public frame_handler {
public:
    /** @brief Dependencies; all must outlive the service. */
    struct environment {
        /** @brief Event loop of the control thread. */
        control_loop& loop;
        /** @brief Limits events queued by peers. */
        event_quota& quota;
        random_source& random;
        datagram_channel& datagrams;
        /** @brief Stream connections to peers. */
        peer_network& network;
        /** @brief Sends requests to peers and matches the responses. */
        request_client& requests;
        /** @brief Receives membership changes. */
        membership_listener& listener;
    };

    /**
     * @param self Record of this node.
     * @param seeds Peers to join through.
     * @param env Dependencies.
     */
    membership_service(member_record self, std::vector<network_endpoint> seeds, environment env);

    [[nodiscard]] swim_agent& agent() noexcept { return agent_; }

    /**
     * @brief Decodes and queues a datagram; may be called from any thread.
     * @return Failure with code `malformed` if it is not a message of this protocol version, or
     * `overload` if the queue is full and the message was dropped; true otherwise.
     */
    outcome<bool> on_datagram(std::span<const std::byte> payload);

    void on_frame(const std::shared_ptr<frame_sink>& connection, frame_kind kind,
                  std::uint64_t correlation, std::span<const std::byte> payload) override;
    void on_closed(const frame_sink& connection, bool established) override;

private:
    void send(const network_endpoint& peer, const membership_message& message);
    void sync(const network_endpoint& peer, const membership_sync_message& request);
    void finish(const network_endpoint& peer, std::span<const std::byte> payload);

    environment environment_;
    swim_agent agent_;
};

} // namespace savorywheel

#endif
