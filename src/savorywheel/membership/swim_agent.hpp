#ifndef SAVORYWHEEL_MEMBERSHIP_SWIM_AGENT_HPP
#define SAVORYWHEEL_MEMBERSHIP_SWIM_AGENT_HPP

#include <savorywheel/core/admission_limiter.hpp>
#include <savorywheel/core/random_source.hpp>
#include <savorywheel/core/timer_service.hpp>
#include <savorywheel/membership/gossip_queue.hpp>
#include <savorywheel/membership/member_table.hpp>
#include <savorywheel/membership/membership_listener.hpp>
#include <savorywheel/membership/membership_message.hpp>
#include <savorywheel/membership/membership_settings.hpp>
#include <savorywheel/membership/membership_sync_message.hpp>
#include <savorywheel/membership/probe_round.hpp>

#include <functional>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace savorywheel {

/**
 * @brief Failure detector and dissemination of member records by the SWIM protocol.
 *
 * It decides on typed messages; its owner encodes and sends them.
 * @warning All members are for the control thread.
 */
class swim_agent {
public:
    /** @brief Sends a datagram message to a peer. */
    using send_function = std::function<void(const network_endpoint&, const membership_message&)>;

    /** @brief Sends the first message of an exchange to a peer. */
    using sync_function =
        std::function<void(const network_endpoint&, const membership_sync_message&)>;

    /** @brief What the agent works with; all must outlive it. */
    struct environment {
        /** @brief Clock. */
        const clock& time;
        /** @brief Timers. */
        timer_service& timers;
        /** @brief Random numbers. */
        random_source& random;
        /** @brief Hears the news. */
        membership_listener& listener;
        /** @brief Sends datagrams. */
        send_function send;
        /** @brief Starts full exchanges. */
        sync_function sync;
    };

    /**
     * @param self Record of this node.
     * @param seeds Peers to join through.
     * @param settings Timing and size.
     * @param env What the agent works with.
     */
    swim_agent(member_record self, std::vector<network_endpoint> seeds,
               membership_settings settings, environment env);

    /** @brief Starts to probe. */
    void start();

    /** @brief Adds peers through which the node may join, and joins if it has not. */
    void add_seeds(std::span<const network_endpoint> peers);

    /** @brief Tells the members that this node leaves, and stops probing. */
    void leave();

    /** @brief Takes a datagram message. */
    void receive(const membership_message& message);

    /**
     * @brief Takes the first or the last message of an exchange.
     * @return The answer to a first one; nothing for a last one.
     */
    [[nodiscard]] std::optional<membership_sync_message>
    answer_sync(const membership_sync_message& request);

    /**
     * @brief Takes the answer to an exchange that this node began.
     * @return The last message, if this node has records for the peer.
     */
    [[nodiscard]] std::optional<membership_sync_message>
    finish_sync(const membership_sync_message& answer);

    /** @return True if an exchange has succeeded since the start. */
    [[nodiscard]] bool joined() const noexcept { return joined_; }

    /** @brief Publishes a new record of this node; its incarnation is set here. */
    void update_self(member_record record);

    /** @brief Sets the configuration version that messages carry. */
    void set_head(config_version head) noexcept { head_ = head; }

    /** @return The member records. */
    [[nodiscard]] const member_table& table() const noexcept { return table_; }

    /** @return The record of this node. */
    [[nodiscard]] const member_record& self() const noexcept { return self_; }

private:
    struct probe {
        node_id target;
        network_endpoint peer;
        std::uint64_t sequence{};
        bool acknowledged{};
        subscription ack_timer;
    };
    struct relayed_probe {
        network_endpoint requester;
        std::uint64_t sequence{};
        monotonic_time started;
    };

    void probe_next();
    void finish_probe();
    void request_indirect_probes();
    void join();
    void sync_random();
    void sync_with(const network_endpoint& peer);
    void merge_all(std::span<const member_update> updates);
    [[nodiscard]] std::optional<member_record> random_member();
    void expire_suspects();
    void apply(const member_update& update, bool disseminate = true);
    void refute(const member_update& update);
    void send(const network_endpoint& peer, membership_kind kind, std::uint64_t sequence,
              const network_endpoint& target = {}, const member_table::entry* receiver = nullptr);
    void answer_ping(const membership_message& message);
    /** Pings a dead member now and then, so that the two sides of a healed partition meet. */
    void probe_dead();
    void on_ack(const membership_message& message);
    [[nodiscard]] std::size_t retransmit_limit() const noexcept;

    member_record self_;
    std::vector<network_endpoint> seeds_;
    membership_settings settings_;
    environment environment_;
    member_table table_;
    config_version head_;
    std::uint64_t last_sequence_{};
    std::optional<probe> probe_;
    std::map<std::uint64_t, relayed_probe> relayed_;
    probe_round round_;
    gossip_queue gossip_;
    admission_limiter large_sync_limiter_;
    admission_limiter unknown_sender_limiter_;
    admission_limiter repair_limiter_;
    node_id last_dead_probe_;
    bool joined_{};
    subscription probe_timer_;
    subscription join_timer_;
    subscription sync_timer_;
    bool leaving_{};
};

} // namespace savorywheel

#endif
