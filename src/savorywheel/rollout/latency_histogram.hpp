#ifndef SAVORYWHEEL_ROLLOUT_LATENCY_HISTOGRAM_HPP
#define SAVORYWHEEL_ROLLOUT_LATENCY_HISTOGRAM_HPP

#include <savorywheel/core/clock.hpp>

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace savorywheel {

/** @brief Number of buckets; each is 1.41 times as wide as the one before. */
inline constexpr std::size_t latency_bucket_count = 32;

/** @brief Counts of calls by latency, in buckets from 0.25 ms to 11 s; the last takes the rest. */
class latency_histogram {
public:
    /** @brief Creates an empty histogram. */
    latency_histogram() = default;

    /** @param counts Counts by bucket; those beyond the last bucket are dropped. */
    explicit latency_histogram(std::span<const std::uint32_t> counts);

    /** @brief Counts a call. */
    void record(duration latency);

    /** @brief Adds the counts of another histogram. */
    void add(const latency_histogram& other);

    /** @return Calls in all buckets. */
    [[nodiscard]] std::uint64_t total() const noexcept;

    /** @return Calls in the given bucket and the slower ones. */
    [[nodiscard]] std::uint64_t from_bucket(std::size_t bucket) const noexcept;

    /** @return Counts by bucket; empty buckets at the end are left out. */
    [[nodiscard]] std::span<const std::uint32_t> counts() const noexcept { return counts_; }

private:
    std::vector<std::uint32_t> counts_;
};

/** @return The bucket of a latency. */
[[nodiscard]] std::size_t latency_bucket(duration latency) noexcept;

/** @return The lower bound of a bucket. */
[[nodiscard]] duration latency_bucket_start(std::size_t bucket) noexcept;

} // namespace savorywheel

#endif
