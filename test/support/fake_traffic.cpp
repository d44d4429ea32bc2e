#include <support/fake_traffic.hpp>

#include <algorithm>
#include <array>
#include <cmath>

namespace savorywheel::test {

namespace {

constexpr std::array<const char*, 3> routes{"/check", "/book", "/cancel"};
constexpr std::array<double, 3> route_shares{0.70, 0.25, 0.05};
constexpr double median_latency_ms = 20.0;
constexpr double latency_spread = 0.5;
constexpr double outage_failure_rate = 0.5;
constexpr int outage_from = 60;
constexpr int cold_seconds = 5;
constexpr double cold_slowness = 3.0;
constexpr int servers = 6;
constexpr double stall_ms = 1000.0;

} // namespace

/** Calls to one version on one route in one second. */
struct fake_traffic::group {
    const char* version;
    const char* route;
    std::uint64_t calls;
    double failure_rate;
    double slowness;
    bool stalled;
};

std::vector<route_evidence> fake_traffic::run_second(int second, double new_share,
                                                     trial_result& result)
{
    std::vector<route_evidence> seen;
    const bool shows = second >= case_.fault_from && new_share >= case_.fault_from_share;
    const bool outage = second >= outage_from && second < outage_from + case_.shared_outage;
    const auto usual = outage ? outage_failure_rate : case_.old_failure_rate;
    new_seconds_ += new_share > 0.0 ? 1 : 0;
    const bool stall = case_.stall_every > 0 && second % case_.stall_every == 0;
    const bool new_stalls = stall && engine_() % 2 == 0;
    const double cold = new_seconds_ <= cold_seconds ? cold_slowness : 1.0;
    for (std::size_t r = 0; r < routes.size(); ++r) {
        const bool faulty = shows && (!case_.one_route || r + 1 == routes.size());
        const auto calls = static_cast<std::uint64_t>(
            std::poisson_distribution<int>{case_.calls_per_second * route_shares[r]}(engine_));
        const auto fresh = hits(calls, new_share);
        const auto by_fault = faulty ? hits(fresh, case_.fault_failure_rate) : 0;
        seen.push_back(
            run_group({"v1", routes[r], calls - fresh, usual, 1.0, stall && !new_stalls}));
        seen.push_back(
            run_group({"v2", routes[r], fresh, usual, cold * (faulty ? case_.fault_slowness : 1.0),
                       stall && new_stalls}));
        auto& item = seen.back();
        item.failures = std::min(item.calls, item.failures + by_fault);
        for (std::uint64_t i = 0; i < by_fault; ++i) {
            item.failed_at.emplace_back(std::to_string(engine_() % servers));
        }
        result.calls += calls;
        result.failed_by_fault += by_fault;
        if (faulty && !case_.good() && fresh > 0 && !result.fault_at) {
            result.fault_at = second;
        }
    }
    return seen;
}

route_evidence fake_traffic::run_group(const group& item)
{
    route_evidence seen;
    seen.version = version_name{item.version};
    seen.route = item.route;
    seen.calls = item.calls;
    seen.failures = hits(item.calls, item.failure_rate);
    for (std::uint64_t i = 0; i < seen.failures; ++i) {
        seen.failed_at.emplace_back(std::to_string(engine_() % servers));
    }
    std::lognormal_distribution<double> latency{std::log(median_latency_ms), latency_spread};
    for (std::uint64_t i = 0; i < item.calls; ++i) {
        const bool stalled = item.stalled && engine_() % servers == 0;
        const auto ms = stalled ? stall_ms : latency(engine_) * item.slowness;
        seen.latencies.record(
            std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>{ms}));
    }
    return seen;
}

std::uint64_t fake_traffic::hits(std::uint64_t calls, double rate)
{
    if (rate <= 0.0 || calls == 0) {
        return 0;
    }
    return std::binomial_distribution<std::uint64_t>{calls, std::min(rate, 1.0)}(engine_);
}

} // namespace savorywheel::test
