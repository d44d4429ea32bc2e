#include <savorywheel/http/drain_monitor.hpp>

#include <algorithm>

namespace savorywheel {

void drain_monitor::adjust_connection_count(int delta)
{
    const std::scoped_lock lock{mutex_};
    connections_ += delta;
    ++change_count_;
    changed_.notify_all();
}

void drain_monitor::adjust_request_count(int delta)
{
    const std::scoped_lock lock{mutex_};
    requests_in_flight_ += delta;
    ++change_count_;
    changed_.notify_all();
}

bool drain_monitor::wait_until_idle(std::chrono::milliseconds limit, std::chrono::milliseconds idle)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    std::unique_lock lock{mutex_};
    while (connections_ > 0) {
        const auto previous_count = change_count_;
        const auto wait_end = std::min(std::chrono::steady_clock::now() + idle, end);
        const bool changed = changed_.wait_until(
            lock, wait_end, [this, previous_count] { return change_count_ != previous_count; });
        const bool expired = std::chrono::steady_clock::now() >= end;
        if (expired || (!changed && requests_in_flight_ == 0)) {
            return requests_in_flight_ == 0;
        }
    }
    return true;
}

} // namespace savorywheel
