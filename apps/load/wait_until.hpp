#ifndef SAVORYWHEEL_APPS_LOAD_WAIT_UNTIL_HPP
#define SAVORYWHEEL_APPS_LOAD_WAIT_UNTIL_HPP

#include <chrono>
#include <functional>

namespace savorywheel::load {

/**
 * @brief Waits for a condition of other processes.
 * @param condition Checked again and again.
 * @param timeout Longest wait.
 * @param period Time between two checks.
 * @return True if the condition came true.
 */
[[nodiscard]] bool wait_until(const std::function<bool()>& condition,
                              std::chrono::milliseconds timeout,
                              std::chrono::milliseconds period = std::chrono::milliseconds{20});

} // namespace savorywheel::load

#endif
