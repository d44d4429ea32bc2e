#ifndef SAVORYWHEEL_NODE_CONTROL_QUERY_HPP
#define SAVORYWHEEL_NODE_CONTROL_QUERY_HPP

#include <savorywheel/core/control_loop.hpp>
#include <savorywheel/core/outcome.hpp>

#include <chrono>
#include <future>
#include <memory>

namespace savorywheel {

/** @brief Timeout of a query to the control thread. */
inline constexpr std::chrono::milliseconds control_query_timeout{2000};

/**
 * @brief Runs a function on the control thread and waits for its result.
 * @tparam Result Type of the result.
 * @param loop Event loop of the control thread.
 * @param function Function; it may still run after a timeout.
 * @return The result; timeout if the control thread does not answer.
 * @warning Blocks for the whole timeout if called on the control thread.
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
