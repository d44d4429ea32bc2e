#include <savorywheel/traffic/silence_watch.hpp>

#include <algorithm>

namespace savorywheel {

namespace {

/** One overdue call may be a long request, and a second one chance. */
constexpr std::size_t fewest_waiting = 3;
/** Single calls rarely exceed four times the mean; three at once do not by chance. */
constexpr int patience_factor = 4;
/** Exceeds pauses of the process and the retransmission timeout of a lost packet (200 ms). */
constexpr std::chrono::milliseconds shortest_patience{300};
/** Typical restart time of a backend server. */
constexpr std::chrono::milliseconds probe_period{500};

} // namespace

void silence_watch::answered(monotonic_time now) noexcept
{
    silent_ = false;
    last_answer_ = now;
}

bool silence_watch::look(std::span<const monotonic_time> started, duration service_time,
                         monotonic_time now)
{
    const auto patience = std::max<duration>(service_time * patience_factor, shortest_patience);
    const auto overdue = std::ranges::count_if(
        started, [&](monotonic_time start) { return now - start > patience; });
    if (!silent_ && now - last_answer_ > patience &&
        static_cast<std::size_t>(overdue) >= fewest_waiting) {
        silent_ = true;
        next_probe_ = now + probe_period;
    }
    return silent_;
}

bool silence_watch::take_probe(monotonic_time now) noexcept
{
    if (now < next_probe_) {
        return false;
    }
    next_probe_ = now + probe_period;
    return true;
}

} // namespace savorywheel
