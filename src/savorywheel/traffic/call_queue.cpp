#include <savorywheel/traffic/call_queue.hpp>

#include <utility>

namespace savorywheel {

void call_queue::push(call_pointer item)
{
    const auto priority = item->call.priority;
    queues_[priority].push_back(std::move(item));
    ++size_;
}

call_queue::call_pointer call_queue::pop()
{
    const auto first = queues_.begin();
    if (first == queues_.end()) {
        return nullptr;
    }
    auto item = std::move(first->second.front());
    first->second.pop_front();
    if (first->second.empty()) {
        queues_.erase(first);
    }
    --size_;
    return item;
}

std::size_t call_queue::count_ahead_of(std::uint32_t priority) const
{
    std::size_t count = 0;
    for (const auto& [queue_priority, calls] : queues_) {
        if (queue_priority > priority) {
            break;
        }
        count += calls.size();
    }
    return count;
}

std::vector<call_queue::call_pointer>
call_queue::remove_if(const std::function<bool(const gate_call&)>& predicate)
{
    std::vector<call_pointer> removed;
    for (auto& [queue_priority, calls] : queues_) {
        std::deque<call_pointer> kept;
        for (auto& item : calls) {
            (predicate(*item) ? removed.emplace_back() : kept.emplace_back()) = std::move(item);
        }
        calls = std::move(kept);
    }
    std::erase_if(queues_, [](const auto& item) { return item.second.empty(); });
    size_ -= removed.size();
    return removed;
}

} // namespace savorywheel
