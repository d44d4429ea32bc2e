#ifndef SAVORYWHEEL_CORE_TASK_GUARD_HPP
#define SAVORYWHEEL_CORE_TASK_GUARD_HPP

#include <exception>
#include <functional>
#include <string_view>

namespace savorywheel {

/** @brief Receives the text of an exception that left a task. */
using error_listener = std::function<void(std::string_view)>;

/**
 * @brief Calls a task; an exception that leaves it ends the task, not the process.
 * @param task Called once.
 * @param on_error Called with the text of the exception; may be empty.
 */
template<typename Task>
void run_guarded(const Task& task, const error_listener& on_error)
{
    try {
        task();
    }
    catch (const std::exception& error) {
        if (on_error) {
            on_error(error.what());
        }
    }
}

} // namespace savorywheel

#endif
