#include <savorywheel/rollout/route_monitor.hpp>

#include <fmt/format.h>

#include <algorithm>

namespace savorywheel {

namespace {

constexpr detector_settings failure_settings{0.002, 250.0, {0.01, 0.05, 0.4}, 1000.0};
constexpr detector_settings slowness_settings{0.1, 50.0, {0.15, 0.4, 0.8}, 4.0};
constexpr std::chrono::milliseconds tolerated_latency{5};
constexpr std::uint64_t fewest_latencies = 100;
constexpr double slow_share = 0.1;
constexpr std::size_t fewest_failed_servers = 2;

sample_counts slow_calls(const latency_histogram& latencies, std::size_t bucket)
{
    return {latencies.total(), latencies.from_bucket(bucket)};
}

} // namespace

route_monitor::route_monitor() : failures_{failure_settings}, slowness_{slowness_settings} {}

void route_monitor::observe(const route_sample& old_sample, const route_sample& new_sample,
                            bool judge_latency)
{
    failures_.observe(old_sample.failures, new_sample.failures);
    if (judge_latency) {
        observe_latency(old_sample.latencies, new_sample.latencies);
    }
    else {
        old_latencies_.add(old_sample.latencies);
    }
    remember(old_sample, new_sample);
}

void route_monitor::observe_alone(const route_sample& new_sample)
{
    failures_.observe_alone(new_sample.failures);
    if (slow_from_ > 0) {
        slowness_.observe_alone(slow_calls(new_sample.latencies, slow_from_));
    }
    remember({}, new_sample);
}

fault_finding route_monitor::finding(std::string_view route, std::size_t new_servers) const
{
    const auto wanted = std::min(fewest_failed_servers, new_servers);
    const auto failed = failed_at_.size() >= wanted ? failures_.score() : 0.0;
    if (failed >= slowness_.score()) {
        return {failed,
                fmt::format("route {}: failed {} of {} calls, the old version {} of {}", route,
                            new_seen_.hits, new_seen_.calls, old_seen_.hits, old_seen_.calls)};
    }
    const auto bound = std::chrono::duration<double, std::milli>(latency_bucket_start(slow_from_));
    return {slowness_.score(),
            fmt::format("route {}: more calls slower than {:.1f} ms than the old version", route,
                        bound.count())};
}

void route_monitor::observe_latency(const latency_histogram& old_latencies,
                                    const latency_histogram& new_latencies)
{
    if (slow_from_ == 0 && old_latencies_.total() >= fewest_latencies) {
        slow_from_ = slow_bucket();
    }
    if (slow_from_ > 0) {
        slowness_.observe(slow_calls(old_latencies, slow_from_),
                          slow_calls(new_latencies, slow_from_));
    }
    old_latencies_.add(old_latencies);
}

/** Returns the first bucket, from that of min_slow_latency on, that at most a tenth of the old
 * version's calls reach or exceed. */
std::size_t route_monitor::slow_bucket() const noexcept
{
    const auto limit = static_cast<double>(old_latencies_.total()) * slow_share;
    std::size_t bucket = latency_bucket(tolerated_latency);
    while (bucket + 1 < latency_bucket_count &&
           static_cast<double>(old_latencies_.from_bucket(bucket)) > limit) {
        ++bucket;
    }
    return bucket;
}

void route_monitor::remember(const route_sample& old_sample, const route_sample& new_sample)
{
    if (failures_.score() <= 0.0) {
        failed_at_.clear();
        old_seen_ = {};
        new_seen_ = {};
    }
    failed_at_.insert(new_sample.failed_at.begin(), new_sample.failed_at.end());
    old_seen_ += old_sample.failures;
    new_seen_ += new_sample.failures;
}

} // namespace savorywheel
