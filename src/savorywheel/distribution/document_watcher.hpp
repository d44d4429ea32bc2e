#ifndef SAVORYWHEEL_DISTRIBUTION_DOCUMENT_WATCHER_HPP
#define SAVORYWHEEL_DISTRIBUTION_DOCUMENT_WATCHER_HPP

#include <savorywheel/core/random_source.hpp>
#include <savorywheel/store/object_store.hpp>

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace savorywheel {

/**
 * @brief Thread that watches objects of the platform's service.
 *
 * It owns no state but its position; what it reads goes to the control thread by a callback.
 * Changes that follow closely on each other cost one call together.
 */
class document_watcher {
public:
    /** @brief Takes the newest value of each changed object; called on the watching thread. */
    using documents_callback = std::function<void(std::vector<stored_object>)>;

    /** @brief Hears how the platform's service answered; called on the watching thread. */
    using health_callback = std::function<void(const outcome<bool>& answered)>;

    /** @brief What the watcher works with; all must outlive it. */
    struct environment {
        /** @brief The platform's service. */
        object_store& store;
        /** @brief Spreads the retries. */
        random_source& random;
        /** @brief Takes the newest values. */
        documents_callback documents;
        /** @brief Hears how the service answered. */
        health_callback health;
    };

    /**
     * @param prefix Start of the objects' keys.
     * @param env What the watcher works with.
     */
    document_watcher(std::string prefix, environment env);
    document_watcher(const document_watcher&) = delete;
    document_watcher& operator=(const document_watcher&) = delete;
    document_watcher(document_watcher&&) = delete;
    document_watcher& operator=(document_watcher&&) = delete;
    ~document_watcher();

    /** @brief Starts to watch. */
    void start();

    /** @brief Makes the thread end after the call to the store in progress. */
    void stop();

private:
    void run();
    [[nodiscard]] outcome<bool> read();
    [[nodiscard]] outcome<bool> follow();
    void deliver(object_list listed);
    /** Waits; false at the end. */
    [[nodiscard]] bool pause(std::chrono::milliseconds length);
    [[nodiscard]] std::chrono::milliseconds next_retry_delay();

    std::string prefix_;
    environment environment_;
    std::optional<std::uint64_t> revision_;
    std::chrono::milliseconds retry_delay_;
    std::mutex mutex_;
    std::condition_variable wake_;
    bool stopping_{};
    std::thread thread_;
};

} // namespace savorywheel

#endif
