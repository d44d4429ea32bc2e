#ifndef SAVORYWHEEL_TEST_SUPPORT_MANUAL_CLOCK_HPP
#define SAVORYWHEEL_TEST_SUPPORT_MANUAL_CLOCK_HPP

#include <savorywheel/core/clock.hpp>

namespace savorywheel::test {

/** @brief Clock that stands still until a test moves it. */
class manual_clock final : public clock {
public:
    [[nodiscard]] monotonic_time now() const noexcept override { return now_; }

    [[nodiscard]] calendar_time calendar_now() const noexcept override
    {
        return start_ +
               std::chrono::duration_cast<std::chrono::milliseconds>(now_.time_since_epoch());
    }

    /** @brief Moves both times forward. */
    void advance(duration step) noexcept { now_ += step; }

private:
    monotonic_time now_;
    calendar_time start_{std::chrono::sys_days{std::chrono::year{2026} / 1 / 1}};
};

} // namespace savorywheel::test

#endif
