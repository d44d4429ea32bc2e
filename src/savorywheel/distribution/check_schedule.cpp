#include <savorywheel/distribution/check_schedule.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace savorywheel {

namespace {

using std::chrono::milliseconds;

/** Age at which the first, second and third successor of a confirmation's origin check. */
constexpr std::array<milliseconds, 3> successor_ages{milliseconds{800}, milliseconds{1000},
                                                     milliseconds{1150}};
/** Spreads the checks of the other nodes, so that the first ones spare the others theirs. */
constexpr milliseconds max_jitter{150};
constexpr milliseconds min_retry_delay{250};
constexpr milliseconds max_retry_delay{2000};

} // namespace

check_schedule::check_schedule(node_id self, random_source& random, monotonic_time start)
    : self_{std::move(self)}, random_{random}, as_of_{start}, retry_delay_{min_retry_delay}
{
}

bool check_schedule::record(const node_id& origin, monotonic_time as_of)
{
    if (origin == self_) {
        retry_at_.reset();
        retry_delay_ = min_retry_delay;
    }
    if (as_of <= as_of_) {
        return false;
    }
    origin_ = origin;
    as_of_ = as_of;
    jitter_ = milliseconds{random_.below(static_cast<std::uint64_t>(max_jitter.count()) + 1)};
    return true;
}

void check_schedule::record_failure(monotonic_time now)
{
    const auto half = static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(retry_delay_).count() / 2);
    retry_at_ = now + retry_delay_ / 2 + milliseconds{random_.below(half + 1)};
    retry_delay_ = std::min<duration>(retry_delay_ * 2, max_retry_delay);
}

monotonic_time check_schedule::next_check(std::span<const node_id> candidates) const
{
    return retry_at_.value_or(as_of_ + age_limit(candidates));
}

duration check_schedule::age_limit(std::span<const node_id> candidates) const
{
    const auto self = std::ranges::lower_bound(candidates, self_);
    if (self == candidates.end() || *self != self_) {
        return max_confirmation_age;
    }
    const auto count = static_cast<std::ptrdiff_t>(candidates.size());
    const auto successor = std::ranges::upper_bound(candidates, origin_);
    const auto place = static_cast<std::size_t>((self - successor + count) % count);
    return place < successor_ages.size() ? successor_ages.at(place)
                                         : max_confirmation_age - max_jitter + jitter_;
}

} // namespace savorywheel
