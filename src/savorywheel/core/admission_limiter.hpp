#ifndef SAVORYWHEEL_CORE_ADMISSION_LIMITER_HPP
#define SAVORYWHEEL_CORE_ADMISSION_LIMITER_HPP

#include <savorywheel/core/clock.hpp>

#include <algorithm>

namespace savorywheel {

/**
 * @brief Token bucket that limits the rate of expensive work.
 * @warning Not thread-safe.
 */
class admission_limiter {
public:
    /**
     * @param time Clock; must outlive the limiter.
     * @param burst Capacity in tokens; positive.
     * @param interval Refill time of one token; positive.
     */
    admission_limiter(const clock& time, unsigned burst, duration interval) noexcept
        : clock_{time}, interval_{interval}, window_{interval * burst}, free_at_{time.now()}
    {
    }

    /** @return True if a token was available; it is then consumed. */
    [[nodiscard]] bool admit() noexcept
    {
        const auto now = clock_.now();
        const auto next = std::max(free_at_, now) + interval_;
        if (next - now > window_) {
            return false;
        }
        free_at_ = next;
        return true;
    }

private:
    const clock& clock_;
    duration interval_;
    duration window_;
    monotonic_time free_at_;
};

} // namespace savorywheel

#endif
