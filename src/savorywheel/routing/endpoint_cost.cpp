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
/** Latencies vary by about half of their mean in either direction. */
constexpr double latency_spread = 0.5;
/** Relative increase of the service time when all slots are in use. */
constexpr double slowdown_at_full_load = 0.5;
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
    const auto at_endpoint =
        run_time + scaled(run_time, slowdown_at_full_load * utilization) + expected_queue_wait();
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
    const auto probability = std::clamp(expected / allowed - latency_spread, 0.0, 1.0);
    return scaled(late_price, probability);
}

duration endpoint_cost::expected_queue_wait() const noexcept
{
    if (slots == 0 || calls < slots) {
        return duration::zero();
    }
    return scaled(service_time, (calls - slots + 1) / slots);
}

} // namespace savorywheel
