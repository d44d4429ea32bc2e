#ifndef SAVORYWHEEL_STORE_STORE_WORKER_HPP
#define SAVORYWHEEL_STORE_STORE_WORKER_HPP

#include <savorywheel/store/object_store.hpp>

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

namespace savorywheel {

/** @brief Thread that executes blocking store requests on behalf of the control thread. */
class store_worker {
public:
    /** @brief Store access; posts its own result to the control thread. */
    using job = std::function<void(object_store&)>;

    /** @param store Must outlive the worker. */
    explicit store_worker(object_store& store);
    store_worker(const store_worker&) = delete;
    store_worker& operator=(const store_worker&) = delete;
    store_worker(store_worker&&) = delete;
    store_worker& operator=(store_worker&&) = delete;
    ~store_worker();

    /** @brief Queues a job; thread-safe. */
    void submit(job work);

    /** @brief Discards queued jobs and waits for the running one. */
    void stop();

private:
    void run();

    object_store& store_;
    std::mutex mutex_;
    std::condition_variable wake_;
    std::deque<job> queue_;
    bool stopping_{};
    std::thread thread_;
};

} // namespace savorywheel

#endif
