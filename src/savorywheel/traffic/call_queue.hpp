#ifndef SAVORYWHEEL_TRAFFIC_CALL_QUEUE_HPP
#define SAVORYWHEEL_TRAFFIC_CALL_QUEUE_HPP

#include <savorywheel/traffic/gate_call.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace savorywheel {

/**
 * @brief Calls that wait for a slot of a backend server: by rank, then in the order of arrival.
 *
 * Answers the load of requests of unequal rank that together exceed the slots.
 */
class call_queue {
public:
    /** @brief A waiting call. */
    using call_pointer = std::shared_ptr<gate_call>;

    /** @brief Adds a call. */
    void push(call_pointer item);

    /** @return The next call; nullptr if none waits. */
    [[nodiscard]] call_pointer pop();

    /** @return Calls that would be started before a new one of the rank. */
    [[nodiscard]] std::size_t count_ahead_of(std::uint32_t priority) const;

    /** @return Calls that wait. */
    [[nodiscard]] std::size_t size() const noexcept { return size_; }

    /** @return True if no call waits. */
    [[nodiscard]] bool empty() const noexcept { return size_ == 0; }

    /**
     * @brief Takes calls out of the queue.
     * @param predicate Tells which.
     * @return The calls.
     */
    std::vector<call_pointer> remove_if(const std::function<bool(const gate_call&)>& predicate);

private:
    std::map<std::uint32_t, std::deque<call_pointer>> queues_;
    std::size_t size_{};
};

} // namespace savorywheel

#endif
