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

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace savorywheel {

/**
 * @brief SWIM failure detector and gossip dissemination of member records.
 *
 * Works on typed messages; the owner encodes and sends them.
 * @warning Only for use on the control thread.
 */
class swim_agent {
public:
    /** @brief Sends a datagram message to a peer. */
    using send_function = std::function<void(const network_endpoint&, const membership_message&)>;

    /** @brief Sends the request of a synchronization to a peer. */
    using sync_function =
        std::function<void(const network_endpoint&, const membership_sync_message&)>;

    /** @brief Dependencies; referenced objects must outlive the agent. */
    struct environment {
        const clock& time;
        timer_service& timers;
        random_source& random;
        /** @brief Receives membership events. */
        membership_listener& listener;
        send_function send;
        /** @brief Starts synchronizations. */
        sync_function sync;
    };

    /**
     * @param self Record of this node.
     * @param seeds Peers to join through.
     * @param settings Timing and size limits.
     * @param env Dependencies.
     */
    swim_agent(member_record self, std::vector<network_endpoint> seeds,
               membership_settings settings, environment env);

    /** @brief Starts the timers and the first attempt to join. */
    void start();

    /** @brief Adds seed peers, and attempts to join through them unless joined already. */
    void add_seeds(std::span<const network_endpoint> peers);

    /** @brief Announces to members that this node leaves the mesh, and stops probing. */
    void leave();

    /** @brief Processes a received datagram. */
    void receive(const membership_message& message);

    /**
     * @brief Processes the request or the final message of a synchronization.
     * @return The response to a request; nothing for a final message.
     */
    [[nodiscard]] std::optional<membership_sync_message>
    answer_sync(const membership_sync_message& request);

    /**
     * @brief Processes the response to a synchronization that this node requested.
     * @return The final message, if this node has records for the peer.
     */
    [[nodiscard]] std::optional<membership_sync_message>
    finish_sync(const membership_sync_message& answer);

    /** @return True if a synchronization has succeeded since the start. */
    [[nodiscard]] bool joined() const noexcept { return joined_; }

    /** @brief Publishes a new record of this node with the next incarnation. */
    void update_self(member_record record);

    /** @brief Sets the summary of the configuration that messages announce. */
    void set_head(const configuration_head& head) noexcept { head_ = head; }

    /**
     * @brief Records a time by which everything that the store had acknowledged is in this node's
     * configuration; acks state its age.
     * @param as_of The time, on clock::since_boot(); an earlier one than before has no effect.
     */
    void prove(duration as_of);

    /** @brief Pings a member for its proven time, apart from the probes. */
    void request_proof(const network_endpoint& peer);

    [[nodiscard]] const member_table& table() const noexcept { return table_; }

    [[nodiscard]] const member_record& self() const noexcept { return self_; }

private:
    struct probe {
        node_id target;
        network_endpoint peer;
        std::uint64_t sequence{};
        /** On clock::since_boot(), before the ping was sent. */
        duration sent_at{};
        bool acknowledged{};
        subscription ack_timer;
    };
    struct proof_request {
        std::uint64_t sequence{};
        /** On clock::since_boot(), before the ping was sent. */
        duration sent_at{};
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
    /**
     * @param target Endpoint to probe, in a ping request.
     * @param receiver_entry Entry of the receiver; sent to it unless alive, so that it can refute.
     */
    void send(const network_endpoint& peer, membership_kind kind, std::uint64_t sequence,
              const network_endpoint& target = {},
              const member_table::entry* receiver_entry = nullptr);
    void answer_ping(const membership_message& message);
    /** Occasionally pings a dead member, so that the two sides of a healed partition merge. */
    void probe_dead();
    void on_ack(const membership_message& message);
    /** Derives a proven time of this node from that of a member that responded to a probe. */
    void prove_from_ack(const membership_message& message, duration sent_at);
    /** @return Age of the proven time in milliseconds, rounded up. */
    [[nodiscard]] std::uint32_t proven_age() const noexcept;
    [[nodiscard]] std::size_t retransmit_limit() const noexcept;

    member_record self_;
    std::vector<network_endpoint> seeds_;
    membership_settings settings_;
    environment environment_;
    member_table table_;
    configuration_head head_;
    std::uint64_t last_sequence_;
    /** On clock::since_boot(). */
    std::optional<duration> proven_;
    std::optional<probe> probe_;
    /** The last requests, in ascending order of their sequence numbers. */
    std::deque<proof_request> proof_requests_;
    std::map<std::uint64_t, relayed_probe> relayed_;
    /** Order in which members are probed. */
    probe_round probe_order_;
    gossip_queue gossip_;
    /** Limits sync responses with many members. */
    admission_limiter large_sync_response_limiter_;
    admission_limiter unknown_sender_limiter_;
    /** Limits synchronizations with senders whose member table has another digest. */
    admission_limiter digest_sync_limiter_;
    node_id last_dead_probe_;
    bool joined_{};
    subscription probe_timer_;
    subscription join_timer_;
    subscription sync_timer_;
    bool leaving_{};
};

} // namespace savorywheel

#endif
