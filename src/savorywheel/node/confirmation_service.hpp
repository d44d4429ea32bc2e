#ifndef SAVORYWHEEL_NODE_CONFIRMATION_SERVICE_HPP
#define SAVORYWHEEL_NODE_CONFIRMATION_SERVICE_HPP

#include <savorywheel/core/control_loop.hpp>
#include <savorywheel/core/event_quota.hpp>
#include <savorywheel/core/random_source.hpp>
#include <savorywheel/distribution/check_schedule.hpp>
#include <savorywheel/distribution/confirmation_message.hpp>
#include <savorywheel/distribution/spread_tree.hpp>
#include <savorywheel/distribution/store_check.hpp>
#include <savorywheel/distribution/store_confirmation.hpp>
#include <savorywheel/distribution/watcher_choice.hpp>
#include <savorywheel/membership/swim_agent.hpp>
#include <savorywheel/node/announcement_filter.hpp>
#include <savorywheel/node/document_service.hpp>
#include <savorywheel/node/key_check_schedule.hpp>
#include <savorywheel/transport/datagram_channel.hpp>

#include <array>
#include <deque>
#include <optional>
#include <vector>

namespace savorywheel {

/**
 * @brief Bounds the time for which a node can lack a change of the documents unnoticed.
 *
 * Checks the object store when check_schedule requires it, and tells all nodes the head that it
 * found, along two trees. A node that receives such a confirmation with a head that it lacks
 * fetches the documents from the nodes that passed it on.
 * @warning Call all members on the control thread, except on_datagram().
 */
class confirmation_service {
public:
    /** @brief Dependencies; all must outlive the service. */
    struct environment {
        /** @brief Event loop of the control thread. */
        control_loop& loop;
        /** @brief Limits events queued by peers. */
        event_quota& quota;
        random_source& random;
        /** @brief The platform's object store, used by the thread of the checks. */
        object_store& store;
        datagram_channel& datagrams;
        event_log& log;
        /** @brief Members, including this node. */
        swim_agent& members;
        document_service& documents;
        /** @brief Proven time and its limit. */
        const key_confirmation& keys;
    };

    /** @param env Dependencies. */
    explicit confirmation_service(environment env);

    /** @brief Starts the schedule of the checks. */
    void start();

    /** @brief Stops the schedule; a check in progress has no effect any more. */
    void stop();

    /** @brief Adapts the schedule and the trees to the members. */
    void on_members_changed();

    /** @brief Checks the store soon, as the documents that a peer reported do not arrive. */
    void check_now();

    /** @brief Sets the place of this node among the watchers. */
    void set_choice(const watcher_choice& choice) noexcept { choice_ = choice; }

    /**
     * @brief Tells all nodes the head of the documents, which a watch has just changed.
     *
     * The watchers speak in the order of their ranks, and only until one was heard. In a small
     * mesh, where every node watches, none does.
     */
    void announce();

    /**
     * @brief Decodes and queues a datagram; may be called from any thread.
     * @return Failure with code `malformed` if it is not a confirmation_message, or `overload` if
     * it was dropped; true otherwise.
     */
    outcome<bool> on_datagram(std::span<const std::byte> payload);

private:
    /** Identifiers of the last messages that arrived along one tree. */
    using recent_ids = std::deque<std::uint64_t>;

    [[nodiscard]] store_check::environment check_environment();
    void schedule();
    /** Checks the store if that is due, or waits until it is. */
    void check_if_due();
    void check();
    /** Reads the configuration only, so that keys can be accepted for longer. */
    void check_keys();
    /** Revision after which a check reads; none if this node lacks documents. */
    [[nodiscard]] std::optional<std::uint64_t> known_revision() const;
    void on_checked(const outcome<store_check_result>& result);
    void receive(const confirmation_message& message);
    void receive_announcement(const confirmation_message& message);
    void spread_announcement();
    void spread(const store_confirmation& confirmation);
    [[nodiscard]] confirmation_message make_message(const configuration_head& head) const;
    /** Returns false if a message arrived along its tree before. */
    [[nodiscard]] bool is_first(const confirmation_message& message);
    void pass_on(confirmation_message message);
    /** True if this node knows a confirmation of another check that says the same. */
    [[nodiscard]] bool is_redundant(const store_confirmation& confirmation) const;
    void record(const store_confirmation& confirmation);
    void log_age();
    void log_keys();
    /** Reads the members again after a change. */
    void refresh_members();

    environment environment_;
    check_schedule schedule_;
    key_check_schedule key_schedule_;
    store_check check_;
    std::optional<store_confirmation> confirmation_;
    bool running_{};
    bool checking_{};
    /** True if the check in progress reads the configuration only. */
    bool checking_keys_{};
    bool members_changed_{true};
    bool unconfirmed_{};
    bool keys_unconfirmed_{};
    std::vector<spread_region> regions_;
    /** Live nodes that can reach the store, and this node, in ascending order. */
    std::vector<node_id> candidates_;
    std::array<recent_ids, 2> received_;
    subscription timer_;
    watcher_choice choice_;
    announcement_filter announcements_;
    subscription announcement_timer_;
};

} // namespace savorywheel

#endif
