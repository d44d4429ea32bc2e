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
 * @brief Competes for the relay lease of a failure domain; the holder watches the ordered log in
 * the platform's object store and writes checkpoints there.
 * @warning Not thread-safe; call all members on the control thread.
 */
class relay_role {
public:
    /** @brief Receives new entries of the log, on the control thread. */
    using tail_callback = std::function<void(const log_tail&)>;

    /** @brief Dependencies; all must outlive the role. */
    struct environment {
        /** @brief Event loop of the control thread. */
        control_loop& loop;
        random_source& random;
        /** @brief The platform's object store, used by the watch thread. */
        object_store& store;
        /** @brief Runs blocking calls to the object store. */
        store_worker& worker;
        event_log& log;
        /** @brief Returns the member record of this node. */
        std::function<const member_record&()> self;
        /** @brief Returns the member table. */
        std::function<const member_table&()> members;
        /** @brief Returns the local replica of the log. */
        std::function<const commit_log&()> commits;
        /** @brief Receives new entries of the log. */
        tail_callback tail;
    };

    /**
     * @param settings Settings of the node.
     * @param env Dependencies.
     */
    relay_role(const node_settings& settings, environment env);

    /** @brief Starts to compete for the lease. */
    void start();

    /** @brief Releases the lease and stops the watch. */
    void stop();

    /** @brief Called after the local replica has advanced; the holder may write a checkpoint. */
    void on_advanced();

    /** @brief Logs a commit that cannot be applied; the lease holder retries the read later. */
    void on_bad_commit(const failure& reason);

    /** @brief Records whether the object store answers. */
    void on_store_health(bool reachable);

    /** @return True if this node holds the lease. */
    [[nodiscard]] bool holds_lease() const noexcept { return lease_.held(); }

    /** @return Whether the last call to the object store was answered; std::nullopt before any. */
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
