#ifndef SAVORYWHEEL_STANDIN_PLATFORM_CALL_RATE_LIMITER_HPP
#define SAVORYWHEEL_STANDIN_PLATFORM_CALL_RATE_LIMITER_HPP

#include <savorywheel/core/clock.hpp>

#include <mutex>

namespace savorywheel::standin {

/** @brief Token bucket that allows a number of calls in a second; any thread may use it. */
class call_rate_limiter {
public:
    /**
     * @param time Clock; must outlive the quota.
     * @param per_second Calls in a second, and calls that may come at one time; zero for no limit.
     */
    call_rate_limiter(const clock& time, double per_second);

    /** @return True if one more call is allowed now. */
    [[nodiscard]] bool try_acquire();

    /** @brief Changes the number of calls in a second; zero for no limit. */
    void set_rate(double per_second);

private:
    const clock& time_;
    std::mutex mutex_;
    double per_second_;
    double tokens_;
    monotonic_time refilled_at_;
};

} // namespace savorywheel::standin

#endif
