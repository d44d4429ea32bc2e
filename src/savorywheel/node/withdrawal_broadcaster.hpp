#ifndef SAVORYWHEEL_NODE_WITHDRAWAL_BROADCASTER_HPP
#define SAVORYWHEEL_NODE_WITHDRAWAL_BROADCASTER_HPP

#include <savorywheel/core/random_source.hpp>
#include <savorywheel/log/event_log.hpp>
#include <savorywheel/membership/member_table.hpp>
#include <savorywheel/rollout/withdrawal_notice_table.hpp>
#include <savorywheel/transport/peer_network.hpp>

#include <functional>

namespace savorywheel {

/**
 * @brief Spreads withdrawal notices between nodes, without the platform's service.
 *
 * A new notice goes down a tree of all members. While it is not recorded, each node also repeats
 * it to a few members at random, which mends losses and reaches nodes that start later.
 * @warning All members are for the control thread.
 */
class withdrawal_broadcaster {
public:
    /** @brief What the spreader works with; all must outlive it. */
    struct environment {
        /** @brief Streams to peers. */
        peer_network& network;
        /** @brief Random numbers. */
        random_source& random;
        /** @brief Log. */
        event_log& log;
        /** @brief Gives the member records. */
        std::function<const member_table&()> members;
    };

    /**
     * @param self This node.
     * @param env What the spreader works with.
     */
    withdrawal_broadcaster(node_id self, environment env);

    /**
     * @brief Takes a notice of this node or of a peer and passes it on.
     * @return True if it is new.
     */
    bool receive(const withdrawal_notice& notice);

    /** @brief Repeats the notices to a few members. */
    void gossip();

    /** @return Notices that this node knows. */
    [[nodiscard]] withdrawal_notice_table& active_notices() noexcept { return active_notices_; }

private:
    void forward(const withdrawal_notice& notice);
    void send(const node_id& member, std::span<const std::byte> payload);

    node_id self_;
    environment environment_;
    withdrawal_notice_table active_notices_;
};

} // namespace savorywheel

#endif
