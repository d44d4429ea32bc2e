#include <support/simulated_traffic.hpp>

#include <algorithm>
#include <array>
#include <cmath>

namespace savorywheel::test {

namespace {

constexpr std::array<const char*, 3> routes{"/check", "/book", "/cancel"};
constexpr std::array<double, 3> route_shares{0.70, 0.25, 0.05};
constexpr double median_latency_ms = 20.0;
constexpr double latency_sigma = 0.5;
constexpr double outage_failure_rate = 0.5;
constexpr int outage_start_second = 60;
constexpr int slow_start_seconds = 5;
constexpr double slow_start_latency_factor = 3.0;
constexpr int server_count = 6;
constexpr double stall_ms = 1000.0;

} // namespace

/** Calls to one version on one route in one second. */
struct simulated_traffic::call_group {
    const char* version;
    const char* route;
    std::uint64_t calls;
    double failure_rate;
    double latency_factor;
    bool stalled;
};

std::vector<route_evidence> simulated_traffic::run_second(int second, double new_share,
                                                          rollout_simulation_result& result)
{
    std::vector<route_evidence> evidence;
    const bool fault_active =
        second >= scenario_.fault_start_second && new_share >= scenario_.fault_min_share;
    const bool outage =
        second >= outage_start_second && second < outage_start_second + scenario_.outage_seconds;
    const auto base_failure_rate = outage ? outage_failure_rate : scenario_.base_failure_rate;
    new_version_seconds_ += new_share > 0.0 ? 1 : 0;
    const bool stall =
        scenario_.stall_interval_seconds > 0 && second % scenario_.stall_interval_seconds == 0;
    const bool new_stalls = stall && engine_() % 2 == 0;
    const double slow_start_factor =
        new_version_seconds_ <= slow_start_seconds ? slow_start_latency_factor : 1.0;
    for (std::size_t r = 0; r < routes.size(); ++r) {
        const bool faulty = fault_active && (!scenario_.single_route || r + 1 == routes.size());
        const auto calls = static_cast<std::uint64_t>(
            std::poisson_distribution<int>{scenario_.calls_per_second * route_shares[r]}(engine_));
        const auto new_calls = draw_binomial(calls, new_share);
        const auto fault_failures =
            faulty ? draw_binomial(new_calls, scenario_.fault_failure_rate) : 0;
        evidence.push_back(run_group(
            {"v1", routes[r], calls - new_calls, base_failure_rate, 1.0, stall && !new_stalls}));
        evidence.push_back(
            run_group({"v2", routes[r], new_calls, base_failure_rate,
                       slow_start_factor * (faulty ? scenario_.fault_latency_factor : 1.0),
                       stall && new_stalls}));
        auto& item = evidence.back();
        item.failures = std::min(item.calls, item.failures + fault_failures);
        for (std::uint64_t i = 0; i < fault_failures; ++i) {
            item.failed_at.emplace_back(std::to_string(engine_() % server_count));
        }
        result.calls += calls;
        result.failed_by_fault += fault_failures;
        if (faulty && !scenario_.good() && new_calls > 0 && !result.first_exposure_at) {
            result.first_exposure_at = second;
        }
    }
    return evidence;
}

route_evidence simulated_traffic::run_group(const call_group& item)
{
    route_evidence evidence;
    evidence.version = version_name{item.version};
    evidence.route = item.route;
    evidence.calls = item.calls;
    evidence.failures = draw_binomial(item.calls, item.failure_rate);
    for (std::uint64_t i = 0; i < evidence.failures; ++i) {
        evidence.failed_at.emplace_back(std::to_string(engine_() % server_count));
    }
    std::lognormal_distribution<double> latency{std::log(median_latency_ms), latency_sigma};
    for (std::uint64_t i = 0; i < item.calls; ++i) {
        const bool stalled = item.stalled && engine_() % server_count == 0;
        const auto ms = stalled ? stall_ms : latency(engine_) * item.latency_factor;
        evidence.latencies.record(
            std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>{ms}));
    }
    return evidence;
}

std::uint64_t simulated_traffic::draw_binomial(std::uint64_t calls, double rate)
{
    if (rate <= 0.0 || calls == 0) {
        return 0;
    }
    return std::binomial_distribution<std::uint64_t>{calls, std::min(rate, 1.0)}(engine_);
}

} // namespace savorywheel::test
