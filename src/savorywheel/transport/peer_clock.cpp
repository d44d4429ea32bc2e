#include <savorywheel/transport/peer_clock.hpp>

#include <algorithm>
#include <utility>

namespace savorywheel {

namespace {

/** Interval at which old offsets are dropped, because clocks drift. */
constexpr std::chrono::seconds offset_window{30};
/** Upper bound of the error in the difference of two times truncated to microseconds. */
constexpr peer_time max_rounding_error{1};

} // namespace

peer_time to_peer_time(monotonic_time local) noexcept
{
    return std::chrono::duration_cast<peer_time>(local.time_since_epoch());
}

void peer_clock::observe(peer_time sent, monotonic_time received) noexcept
{
    const auto offset = sent - to_peer_time(received) - max_rounding_error;
    if (!offset_) {
        window_start_ = received;
    }
    else if (received - window_start_ >= offset_window) {
        offset_ = std::exchange(next_offset_, std::nullopt);
        window_start_ = received;
    }
    offset_ = std::max(offset_.value_or(offset), offset);
    next_offset_ = std::max(next_offset_.value_or(offset), offset);
}

std::optional<peer_time> peer_clock::convert(monotonic_time deadline) const noexcept
{
    if (!offset_) {
        return std::nullopt;
    }
    return to_peer_time(deadline) + *offset_;
}

} // namespace savorywheel
