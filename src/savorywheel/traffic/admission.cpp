#include <savorywheel/traffic/admission.hpp>

namespace savorywheel {

namespace {

constexpr std::size_t max_waiting_per_slot = 4;

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
    const bool late = wait > duration::zero() && wait + service_time > remaining;
    return late ? call_refusal::overload : call_refusal::none;
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
