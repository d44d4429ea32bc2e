#ifndef SAVORYWHEEL_TRAFFIC_ADMISSION_HPP
#define SAVORYWHEEL_TRAFFIC_ADMISSION_HPP

#include <savorywheel/core/clock.hpp>
#include <savorywheel/traffic/call_refusal.hpp>

#include <cstddef>
#include <cstdint>

namespace savorywheel {

/** @brief What a gate knows when it decides whether to take a call. */
struct admission {
    /** @brief Requests that the backend server runs at one time. */
    std::uint32_t slots{};
    /** @brief Calls that run. */
    std::uint32_t running{};
    /** @brief Calls that wait. */
    std::size_t waiting{};
    /** @brief Time that a call takes; zero if not known. */
    duration service_time{};
    /** @brief Time until the call's deadline. */
    duration remaining{};

    /** @return none if the call can be finished in time. */
    [[nodiscard]] call_refusal decide() const noexcept;

    /** @return Expected time until a slot is free for the call. */
    [[nodiscard]] duration expected_wait() const noexcept;
};

} // namespace savorywheel

#endif
