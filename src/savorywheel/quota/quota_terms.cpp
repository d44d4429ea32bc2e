#include <savorywheel/quota/quota_terms.hpp>

#include <algorithm>

namespace savorywheel {

namespace {

/** The bucket holds this much of the rate besides the burst, since nodes request in batches. */
constexpr double batch_seconds = 0.2;
/**
 * A small tenant needs a few tokens more, since nodes hold some that are needed at others. With 2,
 * a tenant of 5 per s on three nodes was refused about once in 60 at 1/1.6 of its limit.
 */
constexpr double batch_tokens = 6;
/** Part of the permitted excess that is not used, against the rounding of tokens and times. */
constexpr double reserve = 3;

/** Nodes hold up to two thirds of the total; the rest is what a new coordinator begins with. */
constexpr double change_divisor = 3;

} // namespace

quota_terms make_quota_terms(const quota_settings& settings, double rate, double burst) noexcept
{
    const auto window = std::chrono::duration<double>(settings.window).count();
    const double excess = settings.over * (rate * window + burst) + settings.slack;
    const double batch = std::clamp(excess - reserve - 1, 0.0, batch_seconds * rate + batch_tokens);
    quota_terms terms;
    terms.rate = rate;
    terms.capacity = std::max(1.0, burst + batch);
    terms.total = terms.capacity + std::max(1.0, excess - batch - reserve);
    terms.total_after_change = std::max(1.0, terms.total / change_divisor);
    terms.max_outstanding = std::max(1.0, terms.total - terms.total_after_change);
    return terms;
}

} // namespace savorywheel
