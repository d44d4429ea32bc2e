#ifndef SAVORYWHEEL_TEST_SUPPORT_WAIT_UNTIL_HPP
#define SAVORYWHEEL_TEST_SUPPORT_WAIT_UNTIL_HPP

#include <chrono>
#include <functional>

namespace savorywheel::test {

/** @brief Longest wait for a condition that must come true. */
inline constexpr std::chrono::seconds default_wait_timeout{20};

/**
 * @brief Waits for a condition.
 * @param condition Checked every few milliseconds.
 * @param timeout Longest wait.
 * @return True if the condition came true.
 */
[[nodiscard]] bool wait_until(const std::function<bool()>& condition,
                              std::chrono::milliseconds timeout = default_wait_timeout);

} // namespace savorywheel::test

#endif
