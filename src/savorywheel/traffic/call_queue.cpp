#include <savorywheel/traffic/call_queue.hpp>

#include <utility>

namespace savorywheel {

void call_queue::push(call_pointer item)
{
    const auto priority = item->call.priority;
    ranks_[priority].push_back(std::move(item));
    ++size_;
}

call_queue::call_pointer call_queue::pop()
{
    const auto first = ranks_.begin();
    if (first == ranks_.end()) {
        return nullptr;
    }
    auto item = std::move(first->second.front());
    first->second.pop_front();
    if (first->second.empty()) {
        ranks_.erase(first);
    }
    --size_;
    return item;
}

std::size_t call_queue::ahead_of(std::uint32_t priority) const
{
    std::size_t count = 0;
    for (const auto& [rank, calls] : ranks_) {
        if (rank > priority) {
            break;
        }
        count += calls.size();
    }
    return count;
}

std::vector<call_queue::call_pointer>
call_queue::remove_if(const std::function<bool(const gate_call&)>& condition)
{
    std::vector<call_pointer> removed;
    for (auto& [rank, calls] : ranks_) {
        std::deque<call_pointer> kept;
        for (auto& item : calls) {
            (condition(*item) ? removed.emplace_back() : kept.emplace_back()) = std::move(item);
        }
        calls = std::move(kept);
    }
    std::erase_if(ranks_, [](const auto& item) { return item.second.empty(); });
    size_ -= removed.size();
    return removed;
}

} // namespace savorywheel
