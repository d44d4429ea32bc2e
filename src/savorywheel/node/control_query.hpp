#ifndef SAVORYWHEEL_NODE_CONTROL_QUERY_HPP
#define SAVORYWHEEL_NODE_CONTROL_QUERY_HPP

#include <savorywheel/core/control_loop.hpp>
#include <savorywheel/core/outcome.hpp>

#include <chrono>
#include <future>
#include <memory>

namespace savorywheel {

/** @brief Longest wait for the control thread's answer to a query. */
inline constexpr std::chrono::milliseconds control_query_timeout{2000};

/**
 * @brief Runs a function on the control thread and waits for what it returns.
 * @tparam Result Type of the value.
 * @param loop Events of the control thread.
 * @param function The function; it may run after the wait has ended.
 * @return The value; timeout if the control thread does not answer.
 * @warning Not for the control thread itself.
 */
template<typename Result, typename Function>
[[nodiscard]] outcome<Result> query_control(control_loop& loop, Function function)
{
    const auto promise = std::make_shared<std::promise<Result>>();
    auto result = promise->get_future();
    loop.post([promise, function] { promise->set_value(function()); });
    if (result.wait_for(control_query_timeout) != std::future_status::ready) {
        return failure{failure_code::timeout, "the control thread does not answer"};
    }
    return result.get();
}

} // namespace savorywheel

#endif
