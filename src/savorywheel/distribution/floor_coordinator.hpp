#ifndef SAVORYWHEEL_DISTRIBUTION_FLOOR_COORDINATOR_HPP
#define SAVORYWHEEL_DISTRIBUTION_FLOOR_COORDINATOR_HPP

#include <savorywheel/core/random_source.hpp>
#include <savorywheel/core/timer_service.hpp>
#include <savorywheel/distribution/floor_listener.hpp>
#include <savorywheel/distribution/floor_transport.hpp>
#include <savorywheel/membership/member_table.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <utility>
#include <vector>

namespace savorywheel {

/**
 * @brief Decides which configuration versions a node may use, so that it never goes back.
 *
 * A VM keeps nothing. After a start the node uses no version until the store, or a read quorum of
 * its buddies, told it the floor that it left before, and until its log has reached that floor.
 * Before it uses a new version it leaves that version as its floor with a write quorum of buddies.
 * @warning All members are for the control thread.
 */
class floor_coordinator {
public:
    /** @brief What the keeper works with; all must outlive it. */
    struct environment {
        /** @brief Clock. */
        const clock& time;
        /** @brief Timers. */
        timer_service& timers;
        /** @brief Spreads reads of the store. */
        random_source& random;
        /** @brief Carries messages. */
        floor_transport& transport;
        /** @brief Hears the decisions. */
        floor_listener& listener;
        /** @brief Gives the member records. */
        std::function<const member_table&()> members;
        /** @brief Gives the record of this node. */
        std::function<const member_record&()> self;
    };

    /**
     * @param standalone True if the node was given no other peer to join through.
     * @param env What the keeper works with.
     */
    floor_coordinator(bool standalone, environment env);

    /** @brief Starts to ask for the floor. */
    void start();

    /** @brief Ends all timers. */
    void stop();

    /** @brief Hears which version the node's log has reached. */
    void on_log_version(config_version version);

    /** @brief Hears which version the log in the store has reached. */
    void on_store_head(config_version head);

    /** @brief Hears that a buddy remembers a floor of this node. */
    void on_floor_stored(const node_id& replica, config_version version);

    /** @brief Hears what a buddy remembers of this node. */
    void on_floor_value(const node_id& replica, const floor_message& value);

    /** @return True if the node knows its floor. */
    [[nodiscard]] bool floor_known() const noexcept { return floor_known_; }

    /** @return The lowest version that the node may use. */
    [[nodiscard]] config_version floor() const noexcept { return std::max(floor_, usable_); }

    /** @return The version in use; zero if none. */
    [[nodiscard]] config_version usable() const noexcept { return usable_; }

    /** @return The version whose floor is being left with buddies, or the one in use. */
    [[nodiscard]] config_version pending_version() const noexcept { return pending_version_; }

private:
    struct acknowledged_floor {
        config_version version;
        std::uint64_t incarnation{};
    };

    void attempt();
    void request_floor();
    void schedule_store_read(duration at_least);
    /** True if the answers surely include the floor that this node left. */
    [[nodiscard]] bool has_read_quorum() const;
    void complete_recovery();
    void advance();
    void replicate();
    void complete_if_acknowledged();
    void refresh();
    void send_to_unacknowledged(config_version version);
    [[nodiscard]] std::size_t count_acknowledged(config_version version) const;
    void report_delay_or_skip();

    bool standalone_;
    environment environment_;
    bool floor_known_{};
    bool delay_reported_{};
    config_version floor_;
    config_version log_version_;
    config_version usable_;
    config_version pending_version_;
    monotonic_time replication_started_at_;
    std::vector<member_record> replicas_;
    std::map<node_id, floor_message> responses_;
    std::map<node_id, acknowledged_floor> acknowledged_;
    subscription attempt_timer_;
    subscription refresh_timer_;
    subscription store_timer_;
};

} // namespace savorywheel

#endif
