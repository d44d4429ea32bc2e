#ifndef SAVORYWHEEL_TRAFFIC_ADMISSION_CHECK_HPP
#define SAVORYWHEEL_TRAFFIC_ADMISSION_CHECK_HPP

#include <savorywheel/core/clock.hpp>
#include <savorywheel/traffic/call_refusal.hpp>

#include <cstddef>
#include <cstdint>

namespace savorywheel {

/**
 * @brief What a gate knows when it decides whether to take a call.
 *
 * Answers the load of more calls than a backend server can run: a queue that is longer than callers
 * want to wait makes every call late and runs no more of them. A call that could only be late is
 * refused at once, so that the others are in time and its caller can go elsewhere or come back.
 */
struct admission_check {
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
    /** @brief Time in which the answer is worth most to the caller; zero if not known. */
    duration preferred{};
    /** @brief True for the highest rank, which is refused only for its deadline. */
    bool highest_priority{};

    /** @return none if the call can be finished in time. */
    [[nodiscard]] call_refusal decide() const noexcept;

    /** @return Time in which the call must be finished to be taken. */
    [[nodiscard]] duration time_limit() const noexcept;

    /** @return Time after which a call like this one would probably be taken. */
    [[nodiscard]] duration retry_after() const noexcept;

    /** @return Expected time until a slot is free for the call. */
    [[nodiscard]] duration expected_wait() const noexcept;
};

} // namespace savorywheel

#endif
