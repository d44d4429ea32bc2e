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
 * @brief Priority queue of calls that wait for a slot; FIFO within a priority.
 *
 * When the load exceeds the slots, calls of a higher priority are served first.
 */
class call_queue {
public:
    using call_pointer = std::shared_ptr<gate_call>;

    void push(call_pointer item);

    /** @return The next call, removed from the queue; nullptr if the queue is empty. */
    [[nodiscard]] call_pointer pop();

    /** @return Number of calls that would be started before a new call of this priority. */
    [[nodiscard]] std::size_t count_ahead_of(std::uint32_t priority) const;

    [[nodiscard]] std::size_t size() const noexcept { return size_; }

    [[nodiscard]] bool empty() const noexcept { return size_ == 0; }

    /**
     * @brief Removes the calls that match a predicate.
     * @return The removed calls.
     */
    std::vector<call_pointer> remove_if(const std::function<bool(const gate_call&)>& predicate);

private:
    std::map<std::uint32_t, std::deque<call_pointer>> queues_;
    std::size_t size_{};
};

} // namespace savorywheel

#endif
