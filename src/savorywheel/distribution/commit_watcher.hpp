#ifndef SAVORYWHEEL_DISTRIBUTION_COMMIT_WATCHER_HPP
#define SAVORYWHEEL_DISTRIBUTION_COMMIT_WATCHER_HPP

#include <savorywheel/core/random_source.hpp>
#include <savorywheel/distribution/log_tail.hpp>
#include <savorywheel/store/object_store.hpp>

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <thread>

namespace savorywheel {

/**
 * @brief Thread that watches the ordered log in the object store.
 *
 * It owns no state except its read position; new commits reach the control thread by callback.
 */
class commit_watcher {
public:
    /** @brief Receives new log entries; called on the watcher thread. */
    using tail_callback = std::function<void(log_tail)>;

    /** @brief Reports whether the object store responds; called on the watcher thread. */
    using health_callback = std::function<void(bool reachable)>;

    /**
     * @param store Must outlive the watcher.
     * @param random Source of the retry jitter; must outlive the watcher.
     * @param tail Receives new log entries.
     * @param health Called after each read or watch.
     */
    commit_watcher(object_store& store, random_source& random, tail_callback tail,
                   health_callback health);
    commit_watcher(const commit_watcher&) = delete;
    commit_watcher& operator=(const commit_watcher&) = delete;
    commit_watcher(commit_watcher&&) = delete;
    commit_watcher& operator=(commit_watcher&&) = delete;
    ~commit_watcher();

    /** @brief Starts or restarts the watch after a version; does not block. */
    void start(config_version after);

    /** @brief Ends the watch once the store request in flight completes; does not block. */
    void pause();

private:
    struct position {
        config_version version;
        std::uint64_t revision{};
        bool listed{};
        bool faulty{};
    };

    void run();
    /** Blocks while paused; returns false on shutdown. */
    [[nodiscard]] bool wait_for_work(position& current);
    [[nodiscard]] bool catch_up(position& current);
    [[nodiscard]] bool follow(position& current);
    void back_off();

    object_store& store_;
    random_source& random_;
    tail_callback tail_;
    health_callback health_;
    std::mutex mutex_;
    std::condition_variable wake_;
    bool stopping_{};
    bool active_{};
    std::optional<config_version> restart_;
    std::chrono::milliseconds retry_delay_;
    std::thread thread_;
};

} // namespace savorywheel

#endif
