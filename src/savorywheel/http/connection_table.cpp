#include <savorywheel/http/connection_table.hpp>

#include <algorithm>

namespace savorywheel {

void connection_table::opened(key caller, int socket)
{
    const std::scoped_lock lock{mutex_};
    sockets_.insert_or_assign(caller, socket);
}

void connection_table::closed(key caller)
{
    const std::scoped_lock lock{mutex_};
    sockets_.erase(caller);
    ++changes_;
    changed_.notify_all();
}

void connection_table::request_changed(int step)
{
    const std::scoped_lock lock{mutex_};
    requests_ += step;
    ++changes_;
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
        const auto seen = changes_;
        const auto pause = std::min(std::chrono::steady_clock::now() + idle, end);
        const bool changed =
            changed_.wait_until(lock, pause, [this, seen] { return changes_ != seen; });
        if (!changed && (requests_ == 0 || std::chrono::steady_clock::now() >= end)) {
            return requests_ == 0;
        }
    }
    return true;
}

} // namespace savorywheel
