#include <savorywheel/routing/remaining_work.hpp>

#include <algorithm>

namespace savorywheel {

namespace {

/** A call that has run for its expected time still needs about this part of it. */
constexpr int least_remaining_divisor = 4;
/** The smallest overhead is the round trip. It rises slowly, in case the network has changed. */
constexpr int round_trip_rise_divisor = 64;

} // namespace

void remaining_work::begin(const sent_call& call)
{
    sent_.push_back(call);
}

void remaining_work::end(const sent_call& call)
{
    const auto found = std::ranges::find(sent_, call);
    if (found != sent_.end()) {
        *found = sent_.back();
        sent_.pop_back();
    }
}

void remaining_work::report(duration work, monotonic_time now)
{
    // An idle gate reports zero, as one that does not report work does. Hence the first report that
    // is not zero tells the two apart.
    reported_ = reported_ || work > duration::zero();
    work_ = work;
    contained_until_ = now - round_trip_;
}

void remaining_work::record_overhead(duration overhead) noexcept
{
    if (overhead <= duration::zero()) {
        return;
    }
    round_trip_ = round_trip_ == duration::zero()
                      ? overhead
                      : std::min(overhead, round_trip_ + round_trip_ / round_trip_rise_divisor);
}

duration remaining_work::at(monotonic_time now, double decay, duration service_time) const
{
    auto sum = std::chrono::duration_cast<duration>(work_ * decay);
    for (const auto& call : sent_) {
        if (call.at >= contained_until_) {
            const auto whole = call.work == duration::zero() ? service_time : call.work;
            sum += std::max(whole - (now - call.at), whole / least_remaining_divisor);
        }
    }
    return sum;
}

} // namespace savorywheel
