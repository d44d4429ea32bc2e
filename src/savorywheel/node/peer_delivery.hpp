#ifndef SAVORYWHEEL_NODE_PEER_DELIVERY_HPP
#define SAVORYWHEEL_NODE_PEER_DELIVERY_HPP

#include <savorywheel/core/control_loop.hpp>
#include <savorywheel/transport/peer_network.hpp>
#include <savorywheel/transport/request_client.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <vector>

namespace savorywheel {

/**
 * @brief Sends messages to peers, each again after a failure until the peer acknowledges it.
 *
 * A message is given up after a few attempts; the peer is then probably dead, and the sender learns
 * of its return as a change of the member.
 * @warning Not thread-safe; call all members on the control thread.
 */
class peer_delivery {
public:
    using callback = std::function<void()>;

    /** @brief Dependencies; all must outlive the delivery. */
    struct environment {
        /** @brief Event loop of the control thread. */
        control_loop& loop;
        /** @brief Connections to peers. */
        peer_network& network;
        request_client& requests;
    };

    explicit peer_delivery(environment env) noexcept : environment_{env} {}

    /**
     * @brief Sends a message.
     * @param peer Receiver.
     * @param kind Frame kind whose response acknowledges the message.
     * @param payload Encoded message.
     * @param acknowledged Called at most once.
     */
    void send(const network_endpoint& peer, frame_kind kind, std::vector<std::byte> payload,
              callback acknowledged);

    /** @return Number of messages that are neither acknowledged nor given up. */
    [[nodiscard]] std::size_t pending() const noexcept { return pending_.size(); }

private:
    struct message {
        network_endpoint peer;
        frame_kind kind{};
        std::vector<std::byte> payload;
        callback acknowledged;
        int attempts{};
        subscription retry_timer;
    };

    void attempt(std::uint64_t id);
    void on_response(std::uint64_t id, bool acknowledged);

    environment environment_;
    std::uint64_t last_id_{};
    std::map<std::uint64_t, message> pending_;
};

} // namespace savorywheel

#endif
