#include <savorywheel/rollout/latency_histogram.hpp>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace savorywheel {

namespace {

constexpr double first_bound_ms = 0.25;
constexpr double buckets_per_doubling = 2.0;

using milliseconds = std::chrono::duration<double, std::milli>;

} // namespace

std::size_t latency_bucket(duration latency) noexcept
{
    const auto ms = std::chrono::duration_cast<milliseconds>(latency).count();
    if (ms < first_bound_ms) {
        return 0;
    }
    const auto position = 1.0 + buckets_per_doubling * std::log2(ms / first_bound_ms);
    return std::min(static_cast<std::size_t>(position), latency_bucket_count - 1);
}

duration latency_bucket_start(std::size_t bucket) noexcept
{
    if (bucket == 0) {
        return {};
    }
    const auto doublings = (static_cast<double>(bucket) - 1.0) / buckets_per_doubling;
    return std::chrono::duration_cast<duration>(
        milliseconds{first_bound_ms * std::exp2(doublings)});
}

latency_histogram::latency_histogram(std::span<const std::uint32_t> counts)
    : counts_{counts.begin(), counts.begin() + static_cast<std::ptrdiff_t>(
                                                   std::min(counts.size(), latency_bucket_count))}
{
}

void latency_histogram::record(duration latency)
{
    const auto bucket = latency_bucket(latency);
    if (counts_.size() <= bucket) {
        counts_.resize(bucket + 1);
    }
    ++counts_[bucket];
}

void latency_histogram::add(const latency_histogram& other)
{
    const auto size = std::min(other.counts_.size(), latency_bucket_count);
    if (counts_.size() < size) {
        counts_.resize(size);
    }
    for (std::size_t i = 0; i < size; ++i) {
        counts_[i] += other.counts_[i];
    }
}

std::uint64_t latency_histogram::total() const noexcept
{
    return from_bucket(0);
}

std::uint64_t latency_histogram::from_bucket(std::size_t bucket) const noexcept
{
    if (bucket >= counts_.size()) {
        return 0;
    }
    return std::accumulate(counts_.begin() + static_cast<std::ptrdiff_t>(bucket), counts_.end(),
                           std::uint64_t{0});
}

} // namespace savorywheel
