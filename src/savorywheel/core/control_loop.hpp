#ifndef SAVORYWHEEL_CORE_CONTROL_LOOP_HPP
#define SAVORYWHEEL_CORE_CONTROL_LOOP_HPP

#include <savorywheel/core/clock.hpp>
#include <savorywheel/core/task_guard.hpp>
#include <savorywheel/core/timer_service.hpp>

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <utility>

namespace savorywheel {

/**
 * @brief Event loop of the control thread, which alone accesses the control state.
 *
 * Other threads post events. The control thread waits on a condition variable until an event is
 * posted or a timer expires.
 */
class control_loop {
public:
    /** @brief Task to run on the control thread. */
    using event = std::function<void()>;

    /** @param source Clock of the timers; must outlive the loop. */
    explicit control_loop(const clock& source) noexcept : clock_{source}, timers_{source} {}

    /**
     * @brief Sets the receiver of errors that leave events and timers; call before run().
     * @param on_error Called on the control thread.
     */
    void set_error_listener(error_listener on_error) { on_error_ = std::move(on_error); }

    /** @return The timers; call on the control thread, or before run(). */
    [[nodiscard]] timer_service& timers() noexcept { return timers_; }

    [[nodiscard]] const clock& time() const noexcept { return clock_; }

    /**
     * @brief Queues an event; may be called from any thread.
     * @param task Event; events run in the order in which they were posted.
     */
    void post(event task);

    /** @brief Runs events and timers on the calling thread until stop() is called. */
    void run();

    /** @brief Makes run() return after the current batch of events; thread-safe. */
    void stop();

    /** @brief Runs queued events and expired timers without blocking; used by tests. */
    void run_pending();

private:
    std::deque<event> take_pending();
    void run_batch(const std::deque<event>& batch);

    const clock& clock_;
    timer_service timers_;
    error_listener on_error_;
    std::mutex mutex_;
    std::condition_variable wake_;
    std::deque<event> queue_;
    bool stopping_{};
};

} // namespace savorywheel

#endif
