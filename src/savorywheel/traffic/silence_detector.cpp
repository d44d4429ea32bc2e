#include <savorywheel/traffic/silence_detector.hpp>

#include <algorithm>

namespace savorywheel {

namespace {

/** One call may take long by its nature, and a second one by chance. */
constexpr std::size_t min_overdue_calls = 3;
/** Single calls rarely take longer than four times the mean; three at once do not by chance. */
constexpr int timeout_factor = 4;
/** Below, a pause of the process or a lost packet (200 ms until it is sent again) would count. */
constexpr std::chrono::milliseconds min_timeout{300};
/** About as long as a backend server takes to start again. */
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
