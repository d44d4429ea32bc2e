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
 * @brief Decides which configuration versions a node may use, so that it never rolls back.
 *
 * The version floor is the lowest version that a node may use. A VM has no persistent storage, so
 * replicas on other nodes store the floor. After a restart the node uses no version until it has
 * recovered its floor from the object store or from a read quorum of its replicas, and until its
 * log has reached that floor. Before it uses a new version, it raises its floor to that version on
 * a write quorum of replicas.
 * @warning Control thread only.
 */
class floor_coordinator {
public:
    /** @brief Dependencies; all must outlive the coordinator. */
    struct environment {
        const clock& time;
        timer_service& timers;
        /** @brief Source of the jitter between store reads. */
        random_source& random;
        floor_transport& transport;
        floor_listener& listener;
        /** @brief Returns the current member table. */
        std::function<const member_table&()> members;
        /** @brief Returns the record of this node. */
        std::function<const member_record&()> self;
    };

    /** @param standalone True if no seeds are configured; a sole member then needs no replicas. */
    floor_coordinator(bool standalone, environment env);

    /** @brief Starts to recover the floor. */
    void start();

    /** @brief Cancels all timers. */
    void stop();

    /** @brief Called when the local log has reached a version. */
    void on_log_version(config_version version);

    /** @brief Called with the latest version of the log in the object store. */
    void on_store_head(config_version head);

    /** @brief Called when a replica has acknowledged a floor of this node. */
    void on_floor_stored(const node_id& replica, config_version version);

    /** @brief Called with the floor that a replica stores for this node. */
    void on_floor_value(const node_id& replica, const floor_message& value);

    /** @return True once the floor has been recovered. */
    [[nodiscard]] bool floor_known() const noexcept { return floor_known_; }

    /** @return The lowest version that the node may use. */
    [[nodiscard]] config_version floor() const noexcept { return std::max(floor_, usable_); }

    /** @return The version in use; zero if none. */
    [[nodiscard]] config_version usable() const noexcept { return usable_; }

    /** @return The version that awaits its write quorum, or the version in use. */
    [[nodiscard]] config_version pending_version() const noexcept { return pending_version_; }

private:
    struct acknowledged_floor {
        config_version version;
        std::uint64_t incarnation{};
    };

    void attempt();
    void request_floor();
    void schedule_store_read(duration at_least);
    /** True if the responses are certain to include the last floor of this node. */
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
