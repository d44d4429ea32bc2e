#include <savorywheel/routing/endpoint_cost.hpp>

#include <algorithm>

namespace savorywheel {

namespace {

using std::chrono::milliseconds;

/** Round-trip times between failure domains and between regions. */
constexpr milliseconds cross_domain_round_trip{2};
constexpr milliseconds cross_region_round_trip{42};
/** Prices of traffic, expressed as latency. */
constexpr milliseconds cross_domain_price{6};
constexpr milliseconds cross_region_price{178};
constexpr milliseconds cross_domain_price_per_kilobyte{5};
constexpr milliseconds cross_region_price_per_kilobyte{20};
constexpr std::size_t kilobyte = 1024;
/** Price of a response that is certainly late, expressed as latency. */
constexpr milliseconds late_price{600};
/** Bounds of the deviation; an estimate of a few calls may be too small or too large. */
constexpr double min_spread = 0.2;
constexpr double max_spread = 0.8;
/** Relative increase of the service time when all slots are in use. */
constexpr double slowdown_at_full_load = 0.5;
/** The part of it that learned service times do not contain, as they are those at the usual load.
 */
constexpr double unlearned_slowdown = 0.25;
/** Calls take about twice as long at a backend server that has just started. */
constexpr int warming_factor = 2;

duration scaled(duration length, double factor)
{
    return std::chrono::duration_cast<duration>(length * factor);
}

} // namespace

duration endpoint_cost::total() const noexcept
{
    const auto kilobytes = static_cast<duration::rep>(bytes / kilobyte);
    auto cost = latency() + lateness_price();
    switch (distance) {
    case endpoint_distance::same_domain:
        break;
    case endpoint_distance::same_region:
        cost += cross_domain_price + cross_domain_price_per_kilobyte * kilobytes;
        break;
    case endpoint_distance::other_region:
        cost += cross_region_price + cross_region_price_per_kilobyte * kilobytes;
        break;
    }
    return cost;
}

duration endpoint_cost::latency() const noexcept
{
    const auto run_time = warming ? service_time * warming_factor : service_time;
    const auto utilization = slots == 0 ? 1.0 : std::min(calls / slots, 1.0);
    const auto slowdown = by_work ? unlearned_slowdown : slowdown_at_full_load;
    const auto at_endpoint =
        run_time + scaled(run_time, slowdown * utilization) + expected_queue_wait();
    switch (distance) {
    case endpoint_distance::same_domain:
        break;
    case endpoint_distance::same_region:
        return at_endpoint + cross_domain_round_trip;
    case endpoint_distance::other_region:
        return at_endpoint + cross_region_round_trip;
    }
    return at_endpoint;
}

duration endpoint_cost::lateness_price() const noexcept
{
    if (target_remaining <= duration::zero()) {
        return duration::zero();
    }
    const std::chrono::duration<double> expected = latency();
    const std::chrono::duration<double> allowed = target_remaining;
    // Rises from 0 to 1 while the expected latency rises from (1 - spread) to (1 + spread) of the
    // allowed one.
    const auto deviation = std::clamp(spread, min_spread, max_spread);
    const auto probability =
        std::clamp((expected / allowed - (1.0 - deviation)) / (2 * deviation), 0.0, 1.0);
    return scaled(late_price, probability);
}

duration endpoint_cost::expected_queue_wait() const noexcept
{
    if (slots == 0 || calls < slots) {
        return duration::zero();
    }
    const auto each = by_work ? scaled(work, 1.0 / calls) : service_time;
    return scaled(each, (calls - slots + 1) / slots);
}

} // namespace savorywheel
