#ifndef SAVORYWHEEL_CORE_SCHEDULER_HPP
#define SAVORYWHEEL_CORE_SCHEDULER_HPP

#include <savorywheel/core/clock.hpp>
#include <savorywheel/core/subscription.hpp>

#include <functional>

namespace savorywheel {

/** @brief Runs tasks and timers on one thread. */
class scheduler {
public:
    /** @brief Must not block. */
    using task = std::function<void()>;

    scheduler() = default;
    scheduler(const scheduler&) = delete;
    scheduler& operator=(const scheduler&) = delete;
    scheduler(scheduler&&) = delete;
    scheduler& operator=(scheduler&&) = delete;
    virtual ~scheduler() = default;

    /** @brief Queues a task; may be called from any thread. */
    virtual void post(task item) = 0;

    /**
     * @brief Calls a task once; call on the scheduler's thread.
     * @param delay Time before the call.
     * @return The subscription; the scheduler must outlive it.
     */
    [[nodiscard]] virtual subscription after(duration delay, task item) = 0;
};

} // namespace savorywheel

#endif
