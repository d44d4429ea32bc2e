#include <savorywheel/core/timer_service.hpp>

#include <algorithm>

namespace savorywheel {

subscription timer_service::every(duration period, action task)
{
    return add(period, {period, std::move(task)});
}

subscription timer_service::after(duration delay, action task)
{
    return add(delay, {std::nullopt, std::move(task)});
}

std::optional<monotonic_time> timer_service::next_due() const noexcept
{
    if (entries_.empty()) {
        return std::nullopt;
    }
    return entries_.begin()->first.first;
}

void timer_service::run_due()
{
    const auto now = clock_.now();
    while (!entries_.empty() && entries_.begin()->first.first <= now) {
        auto node = entries_.extract(entries_.begin());
        const auto task = node.mapped().task;
        if (node.mapped().period) {
            node.key().first = now + *node.mapped().period;
            entries_.insert(std::move(node));
        }
        task();
    }
}

subscription timer_service::add(duration delay, entry item)
{
    const key added{clock_.now() + delay, ++last_id_};
    const bool periodic = item.period.has_value();
    entries_.emplace(added, std::move(item));
    if (periodic) {
        return subscription{[this, id = added.second] { cancel(id); }};
    }
    return subscription{[this, added] { entries_.erase(added); }};
}

void timer_service::cancel(std::uint64_t id)
{
    const auto found =
        std::ranges::find_if(entries_, [id](const auto& item) { return item.first.second == id; });
    if (found != entries_.end()) {
        entries_.erase(found);
    }
}

} // namespace savorywheel
