#ifndef SAVORYWHEEL_CORE_CONTROL_LOOP_HPP
#define SAVORYWHEEL_CORE_CONTROL_LOOP_HPP

#include <savorywheel/core/clock.hpp>
#include <savorywheel/core/timer_service.hpp>

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>

namespace savorywheel {

/**
 * @brief Event queue of the one thread that owns the control state.
 *
 * Other threads post events and never touch the state. The thread sleeps on a condition variable
 * until an event arrives or a timer is due.
 */
class control_loop {
public:
    /** @brief Work for the control thread. */
    using event = std::function<void()>;

    /** @param source Clock of the timers; must outlive the loop. */
    explicit control_loop(const clock& source) noexcept : clock_{source}, timers_{source} {}

    /** @return The timers; only for the control thread, or before run(). */
    [[nodiscard]] timer_service& timers() noexcept { return timers_; }

    /** @return The clock. */
    [[nodiscard]] const clock& time() const noexcept { return clock_; }

    /**
     * @brief Queues an event; any thread may call this.
     * @param task The event; events run in the order of their posting.
     */
    void post(event task);

    /** @brief Runs events and timers on the calling thread until stop() was called. */
    void run();

    /** @brief Makes run() return after the event in progress; any thread may call this. */
    void stop();

    /** @brief Runs what is queued and due now, without waiting; for tests with a manual clock. */
    void run_pending();

private:
    std::deque<event> take_pending();

    const clock& clock_;
    timer_service timers_;
    std::mutex mutex_;
    std::condition_variable wake_;
    std::deque<event> queue_;
    bool stopping_{};
};

} // namespace savorywheel

#endif
