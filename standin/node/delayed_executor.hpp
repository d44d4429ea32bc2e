#ifndef SAVORYWHEEL_STANDIN_NODE_DELAYED_EXECUTOR_HPP
#define SAVORYWHEEL_STANDIN_NODE_DELAYED_EXECUTOR_HPP

#include <savorywheel/core/clock.hpp>

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

namespace savorywheel::standin {

/** @brief Thread that runs tasks in submission order, each after a constant delay. */
class delayed_executor {
public:
    using task = std::function<void()>;

    /** @param delay Time between submission and execution. */
    explicit delayed_executor(duration delay);
    delayed_executor(const delayed_executor&) = delete;
    delayed_executor& operator=(const delayed_executor&) = delete;
    delayed_executor(delayed_executor&&) = delete;
    delayed_executor& operator=(delayed_executor&&) = delete;
    ~delayed_executor();

    /** @brief Queues a task. Thread-safe. */
    void submit(task work);

    /** @brief Discards queued tasks and waits for the running one. */
    void stop();

private:
    struct entry {
        monotonic_time due;
        task work;
    };

    void run();

    duration delay_;
    std::mutex mutex_;
    std::condition_variable wake_;
    std::deque<entry> queue_;
    bool stopping_{};
    std::thread thread_;
};

} // namespace savorywheel::standin

#endif
