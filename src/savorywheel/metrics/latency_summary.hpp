#ifndef SAVORYWHEEL_METRICS_LATENCY_SUMMARY_HPP
#define SAVORYWHEEL_METRICS_LATENCY_SUMMARY_HPP

#include <array>
#include <cstdint>

namespace savorywheel {

/** @brief Upper bounds of histogram buckets in ms: from a fast local call to a long deadline. */
inline constexpr std::array<double, 13> latency_bounds_ms{
    1.0, 2.5, 5.0, 10.0, 25.0, 50.0, 100.0, 250.0, 500.0, 1000.0, 2500.0, 5000.0, 10000.0};

/** @brief Distribution of durations in milliseconds. */
struct latency_summary {
    std::uint64_t count{};
    double mean_ms{};
    /** @brief Median, estimated. */
    double p50_ms{};
    /** @brief 99th percentile, estimated. */
    double p99_ms{};
    double max_ms{};
    double sum_ms{};
    /** @brief Cumulative count up to each of latency_bounds_ms; the last element is the total. */
    std::array<std::uint64_t, latency_bounds_ms.size() + 1> buckets{};
};

} // namespace savorywheel

#endif
