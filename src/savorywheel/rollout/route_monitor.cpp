#include <savorywheel/rollout/route_monitor.hpp>

#include <fmt/format.h>

#include <algorithm>

namespace savorywheel {

namespace {

constexpr detector_settings failure_settings{0.002, 250.0, {0.01, 0.05, 0.15, 0.4}, 1000.0};
constexpr detector_settings slowness_settings{0.1, 50.0, {0.15, 0.25, 0.4, 0.8}, 4.0};
constexpr std::chrono::milliseconds min_slow_latency{5};
constexpr std::uint64_t min_latency_samples = 100;
constexpr double slow_share = 0.1;
constexpr std::size_t min_failed_servers = 2;

sample_counts slow_calls(const latency_histogram& latencies, std::size_t bucket)
{
    return {latencies.total(), latencies.from_bucket(bucket)};
}

} // namespace

route_monitor::route_monitor() : failures_{failure_settings}, slowness_{slowness_settings} {}

void route_monitor::observe(const route_sample& old_sample, const route_sample& new_sample,
                            bool test_latency)
{
    failures_.observe(old_sample.failures, new_sample.failures);
    old_block_.add(old_sample.latencies);
    if (test_latency) {
        new_block_.add(new_sample.latencies);
    }
    accumulate_counts(old_sample, new_sample);
}

void route_monitor::observe_new_only(const route_sample& new_sample)
{
    failures_.observe_new_only(new_sample.failures);
    if (slow_threshold_bucket_ > 0) {
        slowness_.observe_new_only(slow_calls(new_sample.latencies, slow_threshold_bucket_));
    }
    accumulate_counts({}, new_sample);
}

fault_finding route_monitor::finding(std::string_view route, std::size_t new_servers) const
{
    const auto required_servers = std::min(min_failed_servers, new_servers);
    const auto failure_score = failed_at_.size() >= required_servers ? failures_.score() : 0.0;
    if (failure_score >= slowness_.score()) {
        return {failure_score,
                fmt::format("route {}: failed {} of {} calls, the old version {} of {}", route,
                            new_counts_.hits, new_counts_.calls, old_counts_.hits,
                            old_counts_.calls)};
    }
    const auto bound =
        std::chrono::duration<double, std::milli>(latency_bucket_start(slow_threshold_bucket_));
    return {slowness_.score(),
            fmt::format("route {}: more calls slower than {:.1f} ms than the old version", route,
                        bound.count())};
}

void route_monitor::evaluate_latency()
{
    if (slow_threshold_bucket_ == 0 && old_latencies_.total() >= min_latency_samples) {
        slow_threshold_bucket_ = slow_bucket();
    }
    if (slow_threshold_bucket_ > 0) {
        slowness_.observe(slow_calls(old_block_, slow_threshold_bucket_),
                          slow_calls(new_block_, slow_threshold_bucket_));
    }
    old_latencies_.add(old_block_);
    old_block_ = {};
    new_block_ = {};
}

/** Returns the first bucket, from that of min_slow_latency on, that at most a tenth of the old
 * version's calls reach or exceed. */
std::size_t route_monitor::slow_bucket() const noexcept
{
    const auto limit = static_cast<double>(old_latencies_.total()) * slow_share;
    std::size_t bucket = latency_bucket(min_slow_latency);
    while (bucket + 1 < latency_bucket_count &&
           static_cast<double>(old_latencies_.from_bucket(bucket)) > limit) {
        ++bucket;
    }
    return bucket;
}

void route_monitor::accumulate_counts(const route_sample& old_sample,
                                      const route_sample& new_sample)
{
    if (failures_.score() <= 0.0) {
        failed_at_.clear();
        old_counts_ = {};
        new_counts_ = {};
    }
    failed_at_.insert(new_sample.failed_at.begin(), new_sample.failed_at.end());
    old_counts_ += old_sample.failures;
    new_counts_ += new_sample.failures;
}

} // namespace savorywheel
