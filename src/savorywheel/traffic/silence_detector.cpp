#include <savorywheel/traffic/silence_detector.hpp>

#include <algorithm>

namespace savorywheel {

namespace {

/** One overdue call may be a long request, and a second one chance. */
constexpr std::size_t min_overdue_calls = 3;
/** Single calls rarely exceed four times the mean; three at once do not by chance. */
constexpr int timeout_factor = 4;
/** Exceeds pauses of the process and the retransmission timeout of a lost packet (200 ms). */
constexpr std::chrono::milliseconds min_timeout{300};
/** Typical restart time of a backend server. */
constexpr std::chrono::milliseconds probe_period{500};

} // namespace

void silence_detector::record_response(monotonic_time now) noexcept
{
    silent_ = false;
    last_response_ = now;
}

bool silence_detector::update(std::span<const monotonic_time> started, duration service_time,
                              monotonic_time now)
{
    const auto timeout = std::max<duration>(service_time * timeout_factor, min_timeout);
    const auto overdue =
        std::ranges::count_if(started, [&](monotonic_time start) { return now - start > timeout; });
    if (!silent_ && now - last_response_ > timeout &&
        static_cast<std::size_t>(overdue) >= min_overdue_calls) {
        silent_ = true;
        next_probe_ = now + probe_period;
    }
    return silent_;
}

bool silence_detector::allow_probe(monotonic_time now) noexcept
{
    if (now < next_probe_) {
        return false;
    }
    next_probe_ = now + probe_period;
    return true;
}

} // namespace savorywheel
