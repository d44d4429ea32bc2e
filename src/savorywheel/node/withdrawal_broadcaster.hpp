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
 * @brief Broadcasts withdrawal notices between nodes, independently of the object store.
 *
 * A new notice is forwarded along a tree of all members. Until a commit records the withdrawal,
 * each node also gossips it to random members, which covers lost messages and late starters.
 * @warning Not thread-safe; call all members on the control thread.
 */
class withdrawal_broadcaster {
public:
    /** @brief Dependencies; all must outlive this object. */
    struct environment {
        /** @brief Stream connections to peers. */
        peer_network& network;
        random_source& random;
        event_log& log;
        /** @brief Returns the member table. */
        std::function<const member_table&()> members;
    };

    /**
     * @param self Id of this node.
     * @param env Dependencies.
     */
    withdrawal_broadcaster(node_id self, environment env);

    /**
     * @brief Stores and forwards a notice of this node or of a peer.
     * @return True if it is new.
     */
    bool receive(const withdrawal_notice& notice);

    /** @brief Sends each active notice to a few random members. */
    void gossip();

    /** @return Notices whose withdrawal is not yet recorded by a commit. */
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
