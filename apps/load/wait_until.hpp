#ifndef SAVORYWHEEL_APPS_LOAD_WAIT_UNTIL_HPP
#define SAVORYWHEEL_APPS_LOAD_WAIT_UNTIL_HPP

#include <chrono>
#include <functional>

namespace savorywheel::load {

/**
 * @brief Polls a condition on other processes, sleeping between checks.
 * @param condition Checked at least once.
 * @param timeout Time limit for the condition to become true.
 * @param period Time between two checks.
 * @return True if the condition became true before the time limit.
 */
[[nodiscard]] bool wait_until(const std::function<bool()>& condition,
                              std::chrono::milliseconds timeout,
                              std::chrono::milliseconds period = std::chrono::milliseconds{20});

} // namespace savorywheel::load

#endif
