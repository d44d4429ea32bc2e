#ifndef SAVORYWHEEL_QUOTA_DEMAND_ESTIMATE_HPP
#define SAVORYWHEEL_QUOTA_DEMAND_ESTIMATE_HPP

#include <savorywheel/core/clock.hpp>

#include <cmath>

namespace savorywheel {

/** @brief Exponentially weighted rate of a tenant's requests at this node. */
class demand_estimate {
public:
    /** @brief Counts a request. */
    void record(duration now) noexcept
    {
        rate_ = per_second(now) + 1 / memory_seconds;
        updated_ = now;
    }

    /** @return Requests per second. */
    [[nodiscard]] double per_second(duration now) const noexcept
    {
        const auto age = std::chrono::duration<double>(now - updated_).count();
        return age <= 0 ? rate_ : rate_ * std::exp(-age / memory_seconds);
    }

private:
    /**
     * The lifetime of a token. With a shorter memory, each single request of a tenant that comes to
     * this node now and then looks like a steady demand, and the token kept for the next one
     * expires.
     */
    static constexpr double memory_seconds = 4;

    double rate_{};
    duration updated_{};
};

} // namespace savorywheel

#endif
