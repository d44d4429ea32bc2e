#ifndef SAVORYWHEEL_CORE_SYSTEM_CLOCK_SOURCE_HPP
#define SAVORYWHEEL_CORE_SYSTEM_CLOCK_SOURCE_HPP

#include <savorywheel/core/clock.hpp>

#include <ctime>

namespace savorywheel {

/** @brief Clock of the operating system. */
class system_clock_source final : public clock {
public:
    [[nodiscard]] monotonic_time now() const noexcept override
    {
        return std::chrono::steady_clock::now();
    }

    [[nodiscard]] duration since_boot() const noexcept override
    {
        timespec time{};
        clock_gettime(CLOCK_BOOTTIME, &time);
        return std::chrono::seconds{time.tv_sec} + std::chrono::nanoseconds{time.tv_nsec};
    }

    [[nodiscard]] calendar_time calendar_now() const noexcept override
    {
        return std::chrono::floor<std::chrono::milliseconds>(std::chrono::system_clock::now());
    }
};

} // namespace savorywheel

#endif
