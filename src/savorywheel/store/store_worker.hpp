#ifndef SAVORYWHEEL_STORE_STORE_WORKER_HPP
#define SAVORYWHEEL_STORE_STORE_WORKER_HPP

#include <savorywheel/store/object_store.hpp>

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

namespace savorywheel {

/** @brief Thread that waits for the platform's service, so that the control thread need not. */
class store_worker {
public:
    /** @brief Work on the store; it posts its result to the control thread itself. */
    using job = std::function<void(object_store&)>;

    /** @param store The store; must outlive the worker. */
    explicit store_worker(object_store& store);
    store_worker(const store_worker&) = delete;
    store_worker& operator=(const store_worker&) = delete;
    store_worker(store_worker&&) = delete;
    store_worker& operator=(store_worker&&) = delete;
    ~store_worker();

    /** @brief Queues a job; any thread may call this. */
    void submit(job work);

    /** @brief Drops queued jobs and waits for the one in progress. */
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
