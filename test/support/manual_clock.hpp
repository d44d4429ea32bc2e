#ifndef SAVORYWHEEL_TEST_SUPPORT_MANUAL_CLOCK_HPP
#define SAVORYWHEEL_TEST_SUPPORT_MANUAL_CLOCK_HPP

#include <savorywheel/core/clock.hpp>

#include <atomic>

namespace savorywheel::test {

/** @brief Clock that advances only when a test calls advance(). */
class manual_clock final : public clock {
public:
    [[nodiscard]] monotonic_time now() const noexcept override
    {
        return monotonic_time{duration{ticks_}};
    }

    [[nodiscard]] duration since_boot() const noexcept override
    {
        return duration{ticks_ + suspended_};
    }

    [[nodiscard]] calendar_time calendar_now() const noexcept override
    {
        return start_ + std::chrono::duration_cast<std::chrono::milliseconds>(duration{ticks_});
    }

    /** @brief Advances the monotonic and the calendar time. */
    void advance(duration step) noexcept { ticks_ += step.count(); }

    /** @brief Advances only the time since the start of the VM, as if the VM was suspended. */
    void suspend(duration length) noexcept { suspended_ += length.count(); }

private:
    std::atomic<duration::rep> ticks_{};
    std::atomic<duration::rep> suspended_{};
    calendar_time start_{std::chrono::sys_days{std::chrono::year{2026} / 1 / 1}};
};

} // namespace savorywheel::test

#endif
