#ifndef SAVORYWHEEL_DISTRIBUTION_DOCUMENT_WATCHER_HPP
#define SAVORYWHEEL_DISTRIBUTION_DOCUMENT_WATCHER_HPP

#include <savorywheel/core/clock.hpp>
#include <savorywheel/core/random_source.hpp>
#include <savorywheel/log/event_log.hpp>
#include <savorywheel/store/object_store.hpp>

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace savorywheel {

/**
 * @brief Changes within this window are read together.
 *
 * A watch returns the whole configuration, so a shorter window costs a copy of it for each batch.
 */
inline constexpr std::chrono::milliseconds watch_batch_window{600};

/**
 * @brief Window of the watchers that only stand in for the first one.
 *
 * With the announcement and the fetches it stays below the bound of a change, also without the
 * checks, and halves the copies of the configuration in a burst of changes.
 */
inline constexpr std::chrono::milliseconds standby_batch_window{1200};

/**
 * @brief Thread that watches the objects below a key prefix of the object store.
 *
 * It owns no state except its revision; changed objects reach the control thread by callback.
 * It reads the objects once after its start, and then watches them only while it is told to.
 * Changes in quick succession are batched into one store request. A watch without a response at the
 * end of its wait is on a silent connection; the objects are then read on another one.
 */
class document_watcher {
public:
    /** @brief Receives the newest value of each changed object; called on the watcher thread. */
    using documents_callback = std::function<void(std::vector<stored_object>)>;

    /** @brief Receives the result of each store request; called on the watcher thread. */
    using health_callback = std::function<void(const outcome<bool>& store_result)>;

    /** @brief Dependencies; all must outlive the watcher. */
    struct environment {
        object_store& store;
        /** @brief Source of the jitter. */
        random_source& random;
        event_log& log;
        const clock& time;
        documents_callback documents;
        health_callback health;
    };

    /** @param prefix Key prefix of the watched objects. */
    document_watcher(std::string prefix, environment env);
    document_watcher(const document_watcher&) = delete;
    document_watcher& operator=(const document_watcher&) = delete;
    document_watcher(document_watcher&&) = delete;
    document_watcher& operator=(document_watcher&&) = delete;
    ~document_watcher();

    /** @brief Starts the thread, which reads the objects. */
    void start();

    /**
     * @brief Starts the watch after the last revision that was read, or ends it at once.
     *
     * Without a watch, no requests are sent after the first successful read.
     * @param batch_window Pause after a delivery.
     */
    void set_watching(bool watching, std::chrono::milliseconds batch_window = watch_batch_window);

    /** @brief Gives up the waiting watch and its connection, and reads the objects on another. */
    void renew();

    /** @brief Ends the watch and the thread, after a read in flight; does not block. */
    void stop();

private:
    void run();
    [[nodiscard]] outcome<bool> read();
    /** Returns false if the watch was cancelled or got no response in time. */
    [[nodiscard]] outcome<bool> follow();
    [[nodiscard]] std::chrono::milliseconds next_wait();
    void log_silence(monotonic_time started, std::uint64_t revision);
    void deliver(object_list listed);
    /** Waits until there is something to do; returns false on shutdown. */
    [[nodiscard]] bool wait_for_work();
    /** Cancels the waiting watch; call with the mutex locked. */
    void cancel_watch();
    [[nodiscard]] std::chrono::milliseconds batch_window();
    /** Sleeps; returns false on shutdown. */
    [[nodiscard]] bool pause(std::chrono::milliseconds length);
    [[nodiscard]] std::chrono::milliseconds next_retry_delay();

    std::string prefix_;
    environment environment_;
    std::optional<std::uint64_t> revision_;
    std::chrono::milliseconds retry_delay_;
    std::mutex mutex_;
    std::condition_variable wake_;
    bool stopping_{};
    bool watching_{};
    std::chrono::milliseconds batch_window_{watch_batch_window};
    /** True if the objects are to be read after the watch in flight was cancelled. */
    bool reread_{};
    /** The watch in flight. */
    std::shared_ptr<cancellation> watch_;
    std::thread thread_;
};

} // namespace savorywheel

#endif
