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
 * @brief Connects the membership decisions to datagrams and streams.
 * @warning All members are for the control thread, but for on_frame(), on_closed() and
 * on_datagram().
 */
class membership_service final : public frame_handler {
public:
    /** @brief What the service works with; all must outlive it. */
    struct environment {
        /** @brief Control thread's events and timers. */
        control_loop& loop;
        /** @brief Bounds what peers can queue. */
        event_quota& quota;
        /** @brief Random numbers. */
        random_source& random;
        /** @brief Sends datagrams. */
        datagram_channel& datagrams;
        /** @brief Streams to peers. */
        peer_network& network;
        /** @brief Requests to peers. */
        request_client& requests;
        /** @brief Hears the news. */
        membership_listener& listener;
    };

    /**
     * @param self Record of this node.
     * @param seeds Peers to join through.
     * @param env What the service works with.
     */
    membership_service(member_record self, std::vector<network_endpoint> seeds, environment env);

    /** @return The decisions. */
    [[nodiscard]] swim_agent& agent() noexcept { return agent_; }

    /**
     * @brief Takes a datagram; any thread may call this.
     * @return malformed if it is no message of this protocol version; overload if it was dropped.
     */
    outcome<bool> on_datagram(std::span<const std::byte> payload);

    void on_frame(const std::shared_ptr<frame_sink>& source, frame_kind kind,
                  std::uint64_t correlation, std::span<const std::byte> payload) override;
    void on_closed(const frame_sink& source, bool established) override;

private:
    void send(const network_endpoint& peer, const membership_message& message);
    void sync(const network_endpoint& peer, const membership_sync_message& request);
    void finish(const network_endpoint& peer, std::span<const std::byte> payload);

    environment environment_;
    swim_agent agent_;
};

} // namespace savorywheel

#endif
