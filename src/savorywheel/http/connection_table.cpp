#include <savorywheel/http/connection_table.hpp>

#include <microhttpd.h>

#include <algorithm>

namespace savorywheel {

namespace {

void set_timeout(MHD_Connection& connection, std::chrono::seconds timeout)
{
    MHD_set_connection_option(&connection, MHD_CONNECTION_OPTION_TIMEOUT,
                              static_cast<unsigned>(timeout.count()));
}

} // namespace

void connection_table::add(key caller, MHD_Connection& connection, int socket)
{
    const std::scoped_lock lock{mutex_};
    connections_.insert_or_assign(caller, entry{&connection, socket});
    set_timeout(connection, idle_timeout_);
}

void connection_table::set_idle_timeout(std::chrono::seconds timeout)
{
    const std::scoped_lock lock{mutex_};
    idle_timeout_ = timeout;
    for (const auto& [caller, open] : connections_) {
        set_timeout(*open.connection, timeout);
    }
}

void connection_table::remove(key caller)
{
    const std::scoped_lock lock{mutex_};
    connections_.erase(caller);
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
    const auto found = connections_.find(caller);
    return found == connections_.end() ? std::nullopt : std::optional{found->second.socket};
}

bool connection_table::wait_until_idle(std::chrono::milliseconds limit,
                                       std::chrono::milliseconds idle)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    std::unique_lock lock{mutex_};
    while (!connections_.empty()) {
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
