#include <savorywheel/traffic/admission.hpp>

#include <algorithm>

namespace savorywheel {

namespace {

constexpr std::size_t max_waiting_per_slot = 4;
/**
 * Factor of the mean service time that must remain after the wait. Many calls take twice the mean;
 * a margin of once the mean would make about half of the calls late.
 */
constexpr int usual_spread = 2;
/** A caller that retries sooner finds the queue unchanged. */
constexpr std::chrono::milliseconds shortest_retry{50};
constexpr std::chrono::milliseconds longest_retry{1000};

} // namespace

call_refusal admission::decide() const noexcept
{
    if (remaining <= duration::zero()) {
        return call_refusal::expired;
    }
    if (waiting >= max_waiting_per_slot * slots) {
        return call_refusal::overload;
    }
    const auto wait = expected_wait();
    const bool late = wait > duration::zero() && wait + service_time * usual_spread > limit();
    return late ? call_refusal::overload : call_refusal::none;
}

duration admission::limit() const noexcept
{
    if (highest_rank || preferred <= duration::zero()) {
        return remaining;
    }
    return std::min(preferred, remaining);
}

duration admission::retry_after() const noexcept
{
    const duration excess = expected_wait() + service_time * usual_spread - limit();
    return std::clamp<duration>(excess, shortest_retry, longest_retry);
}

duration admission::expected_wait() const noexcept
{
    const auto ahead = running + waiting;
    if (slots == 0 || ahead < slots) {
        return duration::zero();
    }
    return service_time * static_cast<duration::rep>(ahead - slots + 1) /
           static_cast<duration::rep>(slots);
}

} // namespace savorywheel
