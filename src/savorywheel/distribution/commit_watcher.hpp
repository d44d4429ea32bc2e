#ifndef SAVORYWHEEL_DISTRIBUTION_COMMIT_WATCHER_HPP
#define SAVORYWHEEL_DISTRIBUTION_COMMIT_WATCHER_HPP

#include <savorywheel/config/commit.hpp>
#include <savorywheel/core/random_source.hpp>
#include <savorywheel/store/object_store.hpp>

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace savorywheel {

/**
 * @brief Thread that watches the ordered log in the platform's service.
 *
 * It owns no state but its position; what it reads goes to the control thread by a callback.
 */
class commit_watcher {
public:
    /** @brief Takes new commits; called on the watching thread. */
    using commits_callback = std::function<void(std::vector<commit>)>;

    /** @brief Hears whether the platform's service answers; called on the watching thread. */
    using health_callback = std::function<void(bool reachable)>;

    /**
     * @param store The platform's service; must outlive the watcher.
     * @param random Spreads the retries; must outlive the watcher.
     * @param commits Takes new commits.
     * @param health Hears whether the service answers.
     */
    commit_watcher(object_store& store, random_source& random, commits_callback commits,
                   health_callback health);
    commit_watcher(const commit_watcher&) = delete;
    commit_watcher& operator=(const commit_watcher&) = delete;
    commit_watcher(commit_watcher&&) = delete;
    commit_watcher& operator=(commit_watcher&&) = delete;
    ~commit_watcher();

    /** @brief Starts to watch after a version. */
    void start(config_version after);

    /** @brief Ends the watch; it returns when the thread has ended. */
    void stop();

private:
    void run(config_version after);
    [[nodiscard]] bool catch_up(config_version& position, std::uint64_t& revision);
    [[nodiscard]] bool follow(config_version& position, std::uint64_t& revision);
    void deliver(const object_list& objects, config_version& position);
    void back_off();

    object_store& store_;
    random_source& random_;
    commits_callback commits_;
    health_callback health_;
    std::mutex mutex_;
    std::condition_variable wake_;
    bool stopping_{};
    std::chrono::milliseconds delay_;
    std::thread thread_;
};

} // namespace savorywheel

#endif
