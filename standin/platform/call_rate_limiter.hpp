#ifndef SAVORYWHEEL_STANDIN_PLATFORM_CALL_RATE_LIMITER_HPP
#define SAVORYWHEEL_STANDIN_PLATFORM_CALL_RATE_LIMITER_HPP

#include <savorywheel/core/clock.hpp>

#include <mutex>

namespace savorywheel::standin {

/** @brief Token bucket that limits the call rate. Thread-safe. */
class call_rate_limiter {
public:
    /**
     * @param time Clock; must outlive the quota.
     * @param per_second Calls per second, also the burst size; zero for no limit.
     */
    call_rate_limiter(const clock& time, double per_second);

    /** @return True if one more call is allowed now. */
    [[nodiscard]] bool try_acquire();

    /** @brief Sets the rate in calls per second and refills the bucket; zero for no limit. */
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
