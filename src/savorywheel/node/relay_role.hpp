#ifndef SAVORYWHEEL_NODE_RELAY_ROLE_HPP
#define SAVORYWHEEL_NODE_RELAY_ROLE_HPP

#include <savorywheel/core/control_loop.hpp>
#include <savorywheel/distribution/commit_log.hpp>
#include <savorywheel/distribution/commit_watcher.hpp>
#include <savorywheel/distribution/lease_manager.hpp>
#include <savorywheel/log/event_log.hpp>
#include <savorywheel/membership/member_table.hpp>
#include <savorywheel/settings/node_settings.hpp>

#include <functional>
#include <optional>
#include <string>

namespace savorywheel {

/**
 * @brief Competes for the relay lease of a failure domain; its holder watches the ordered log in
 * the platform's service and writes checkpoints there.
 * @warning All members are for the control thread.
 */
class relay_role {
public:
    /** @brief Takes what follows in the log, on the control thread. */
    using tail_callback = std::function<void(const log_tail&)>;

    /** @brief What the role works with; all must outlive it. */
    struct environment {
        /** @brief Control thread's events and timers. */
        control_loop& loop;
        /** @brief Random numbers. */
        random_source& random;
        /** @brief The platform's service, for the watching thread. */
        object_store& store;
        /** @brief Thread for the platform's service. */
        store_worker& worker;
        /** @brief Log. */
        event_log& log;
        /** @brief Gives this node's own record. */
        std::function<const member_record&()> self;
        /** @brief Gives the member records. */
        std::function<const member_table&()> members;
        /** @brief Gives this node's copy of the log. */
        std::function<const commit_log&()> commits;
        /** @brief Takes what follows in the log. */
        tail_callback tail;
    };

    /**
     * @param settings Settings of the node.
     * @param env What the role works with.
     */
    relay_role(const node_settings& settings, environment env);

    /** @brief Starts to compete for the lease. */
    void start();

    /** @brief Gives the lease up and ends the watch. */
    void stop();

    /** @brief Hears that the copy of the log has advanced; writes a checkpoint now and then. */
    void on_advanced();

    /** @brief Reports a commit that cannot be applied, and reads the log again later. */
    void on_bad_commit(const failure& reason);

    /** @brief Notes whether the platform's service answers. */
    void on_store_health(bool reachable);

    /** @return True if this node holds the lease. */
    [[nodiscard]] bool holds_lease() const noexcept { return lease_.held(); }

    /** @return Whether the platform's service answered last; nothing if it was not asked. */
    [[nodiscard]] std::optional<bool> store_reachable() const noexcept { return store_reachable_; }

private:
    void compete();
    void on_lease(bool held);
    void write_checkpoint();

    const node_settings& settings_;
    environment environment_;
    commit_watcher watcher_;
    lease_manager lease_;
    config_version checkpointed_;
    std::string last_fault_;
    std::optional<bool> store_reachable_;
    subscription candidate_timer_;
    subscription reread_timer_;
};

} // namespace savorywheel

#endif
