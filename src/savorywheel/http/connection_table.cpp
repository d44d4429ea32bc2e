#include <savorywheel/http/connection_table.hpp>

#include <algorithm>

namespace savorywheel {

void connection_table::add(key caller, int socket)
{
    const std::scoped_lock lock{mutex_};
    sockets_.insert_or_assign(caller, socket);
}

void connection_table::remove(key caller)
{
    const std::scoped_lock lock{mutex_};
    sockets_.erase(caller);
    ++change_count_;
    changed_.notify_all();
}

void connection_table::adjust_request_count(int delta)
{
    const std::scoped_lock lock{mutex_};
    requests_in_flight_ += delta;
    ++change_count_;
    changed_.notify_all();
}

std::optional<int> connection_table::socket_of(key caller) const
{
    const std::scoped_lock lock{mutex_};
    const auto found = sockets_.find(caller);
    return found == sockets_.end() ? std::nullopt : std::optional{found->second};
}

bool connection_table::wait_until_idle(std::chrono::milliseconds limit,
                                       std::chrono::milliseconds idle)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    std::unique_lock lock{mutex_};
    while (!sockets_.empty()) {
        const auto previous_count = change_count_;
        const auto wait_end = std::min(std::chrono::steady_clock::now() + idle, end);
        const bool changed = changed_.wait_until(
            lock, wait_end, [this, previous_count] { return change_count_ != previous_count; });
        if (!changed && (requests_in_flight_ == 0 || std::chrono::steady_clock::now() >= end)) {
            return requests_in_flight_ == 0;
        }
    }
    return true;
}

} // namespace savorywheel
