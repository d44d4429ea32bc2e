#ifndef SAVORYWHEEL_STANDIN_NODE_DELAY_LINE_HPP
#define SAVORYWHEEL_STANDIN_NODE_DELAY_LINE_HPP

#include <savorywheel/core/clock.hpp>

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

namespace savorywheel::standin {

/** @brief Thread that runs tasks in submission order, each after a constant delay. */
class delay_line {
public:
    using task = std::function<void()>;

    /** @param delay Time between submission and execution. */
    explicit delay_line(duration delay);
    delay_line(const delay_line&) = delete;
    delay_line& operator=(const delay_line&) = delete;
    delay_line(delay_line&&) = delete;
    delay_line& operator=(delay_line&&) = delete;
    ~delay_line();

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
