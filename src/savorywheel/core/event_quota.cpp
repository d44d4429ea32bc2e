#include <savorywheel/core/event_quota.hpp>

#include <utility>

namespace savorywheel {

bool event_quota::post(std::size_t bytes, control_loop::event task)
{
    const bool full = events_.fetch_add(1) >= max_events_;
    const bool large = bytes_.fetch_add(bytes) + bytes > max_bytes_;
    if (full || large) {
        --events_;
        bytes_ -= bytes;
        ++dropped_;
        return false;
    }
    loop_.post([this, bytes, work = std::move(task)] {
        --events_;
        bytes_ -= bytes;
        work();
    });
    return true;
}

} // namespace savorywheel
