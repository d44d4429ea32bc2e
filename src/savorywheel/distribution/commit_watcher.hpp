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
 * @brief Thread that watches the ordered log in the platform's service.
 *
 * It owns no state but its position; what it reads goes to the control thread by a callback.
 */
class commit_watcher {
public:
    /** @brief Takes what follows in the log; called on the watching thread. */
    using tail_callback = std::function<void(log_tail)>;

    /** @brief Hears whether the platform's service answers; called on the watching thread. */
    using health_callback = std::function<void(bool reachable)>;

    /**
     * @param store The platform's service; must outlive the watcher.
     * @param random Spreads the retries; must outlive the watcher.
     * @param tail Takes what follows in the log.
     * @param health Hears whether the service answers.
     */
    commit_watcher(object_store& store, random_source& random, tail_callback tail,
                   health_callback health);
    commit_watcher(const commit_watcher&) = delete;
    commit_watcher& operator=(const commit_watcher&) = delete;
    commit_watcher(commit_watcher&&) = delete;
    commit_watcher& operator=(commit_watcher&&) = delete;
    ~commit_watcher();

    /** @brief Starts to watch after a version, or goes back to it; does not wait. */
    void start(config_version after);

    /** @brief Ends the watch; a call to the store in progress still ends. Does not wait. */
    void pause();

private:
    struct position {
        config_version version;
        std::uint64_t revision{};
        bool listed{};
        bool faulty{};
    };

    void run();
    /** Waits until there is something to watch; false at the end. */
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
