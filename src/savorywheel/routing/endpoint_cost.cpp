#include <savorywheel/routing/endpoint_cost.hpp>

#include <algorithm>

namespace savorywheel {

namespace {

using std::chrono::milliseconds;

/** Round-trip times, and the price of cross-domain traffic expressed as latency. */
constexpr milliseconds cross_domain_cost{8};
constexpr milliseconds cross_region_cost{220};
constexpr milliseconds cross_domain_cost_per_kilobyte{5};
constexpr milliseconds cross_region_cost_per_kilobyte{20};
constexpr std::size_t kilobyte = 1024;
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
    const auto run_time = warming ? service_time * warming_factor : service_time;
    const auto utilization = slots == 0 ? 1.0 : std::min(calls / slots, 1.0);
    auto cost =
        run_time + scaled(run_time, slowdown_at_full_load * utilization) + expected_queue_wait();
    const auto kilobytes = static_cast<duration::rep>(bytes / kilobyte);
    switch (distance) {
    case endpoint_distance::same_domain:
        break;
    case endpoint_distance::same_region:
        cost += cross_domain_cost + cross_domain_cost_per_kilobyte * kilobytes;
        break;
    case endpoint_distance::other_region:
        cost += cross_region_cost + cross_region_cost_per_kilobyte * kilobytes;
        break;
    }
    return cost;
}

duration endpoint_cost::expected_queue_wait() const noexcept
{
    if (slots == 0 || calls < slots) {
        return duration::zero();
    }
    return scaled(service_time, (calls - slots + 1) / slots);
}

} // namespace savorywheel
