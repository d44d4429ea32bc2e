#ifndef SAVORYWHEEL_TEST_SUPPORT_WAIT_UNTIL_HPP
#define SAVORYWHEEL_TEST_SUPPORT_WAIT_UNTIL_HPP

#include <chrono>
#include <functional>

namespace savorywheel::test {

/** @brief Timeout of wait_until() for conditions that must become true. */
inline constexpr std::chrono::seconds default_wait_timeout{20};

/**
 * @brief Polls a condition until it is true or the timeout expires.
 * @param condition Evaluated every few milliseconds.
 * @param timeout Maximum waiting time.
 * @return True if the condition became true.
 */
[[nodiscard]] bool wait_until(const std::function<bool()>& condition,
                              std::chrono::milliseconds timeout = default_wait_timeout);

} // namespace savorywheel::test

#endif
