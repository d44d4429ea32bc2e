#ifndef SAVORYWHEEL_ROLLOUT_LATENCY_HISTOGRAM_HPP
#define SAVORYWHEEL_ROLLOUT_LATENCY_HISTOGRAM_HPP

#include <savorywheel/core/clock.hpp>

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace savorywheel {

/** @brief Number of buckets; each one is 1.41 times as wide as its predecessor. */
inline constexpr std::size_t latency_bucket_count = 32;

/** @brief Counts calls in latency buckets from 0.25 ms to 11 s; the last one is unbounded. */
class latency_histogram {
public:
    latency_histogram() = default;

    /** @param counts Counts by bucket; those beyond the last bucket are dropped. */
    explicit latency_histogram(std::span<const std::uint32_t> counts);

    void record(duration latency);

    void add(const latency_histogram& other);

    [[nodiscard]] std::uint64_t total() const noexcept;

    /** @return Calls in the given bucket and all slower ones. */
    [[nodiscard]] std::uint64_t from_bucket(std::size_t bucket) const noexcept;

    /** @return Counts by bucket, without trailing empty buckets. */
    [[nodiscard]] std::span<const std::uint32_t> counts() const noexcept { return counts_; }

private:
    std::vector<std::uint32_t> counts_;
};

[[nodiscard]] std::size_t latency_bucket(duration latency) noexcept;

/** @return Lower bound of a bucket. */
[[nodiscard]] duration latency_bucket_start(std::size_t bucket) noexcept;

} // namespace savorywheel

#endif
