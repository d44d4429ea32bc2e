#ifndef SAVORYWHEEL_CORE_CLOCK_HPP
#define SAVORYWHEEL_CORE_CLOCK_HPP

#include <chrono>

namespace savorywheel {

/** @brief Monotonic time; comparable only within one process. */
using monotonic_time = std::chrono::steady_clock::time_point;

/** @brief Interval on the monotonic clock. */
using duration = std::chrono::steady_clock::duration;

/** @brief Calendar time in UTC. */
using calendar_time = std::chrono::sys_time<std::chrono::milliseconds>;

/** @brief Source of time; tests substitute a manual clock. */
class clock {
public:
    clock() = default;
    clock(const clock&) = delete;
    clock& operator=(const clock&) = delete;
    clock(clock&&) = delete;
    clock& operator=(clock&&) = delete;
    virtual ~clock() = default;

    /** @return The monotonic time, for intervals and timeouts. */
    [[nodiscard]] virtual monotonic_time now() const noexcept = 0;

    /** @return The time since the start of the VM, including time for which it was suspended. */
    [[nodiscard]] virtual duration since_boot() const noexcept { return now().time_since_epoch(); }

    /** @return The calendar time, for deadlines set by operators. */
    [[nodiscard]] virtual calendar_time calendar_now() const noexcept = 0;
};

} // namespace savorywheel

#endif
