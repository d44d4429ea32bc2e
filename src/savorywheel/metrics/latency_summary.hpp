#ifndef SAVORYWHEEL_METRICS_LATENCY_SUMMARY_HPP
#define SAVORYWHEEL_METRICS_LATENCY_SUMMARY_HPP

#include <cstdint>

namespace savorywheel {

/** @brief Distribution of durations; all values in milliseconds. */
struct latency_summary {
    /** @brief Number of recorded durations. */
    std::uint64_t count{};
    /** @brief Mean. */
    double mean_ms{};
    /** @brief Median, estimated. */
    double p50_ms{};
    /** @brief 99th percentile, estimated. */
    double p99_ms{};
    /** @brief Greatest. */
    double max_ms{};
};

} // namespace savorywheel

#endif
