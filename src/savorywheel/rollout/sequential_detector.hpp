#ifndef SAVORYWHEEL_ROLLOUT_SEQUENTIAL_DETECTOR_HPP
#define SAVORYWHEEL_ROLLOUT_SEQUENTIAL_DETECTOR_HPP

#include <savorywheel/rollout/sample_counts.hpp>

#include <array>
#include <cstddef>

namespace savorywheel {

/** @brief Number of effect sizes that a detector tests in parallel. */
inline constexpr std::size_t effect_size_count = 4;

/** @brief Number of rates of the old version that a detector assumes in parallel. */
inline constexpr std::size_t assumed_rate_count = 6;

/** @brief Parameters of a sequential detector for one property of calls. */
struct detector_settings {
    /** @brief Prior estimate of the old version's rate. */
    double prior_rate{};
    /** @brief Weight of the prior estimate, in calls. */
    double prior_calls{};
    /** @brief Tested increases of the new version's rate over the old version's rate. */
    std::array<double, effect_size_count> effect_sizes{};
    /** @brief Cap on the contribution of one block, so that a short stall of one server is not
     * decisive. */
    double max_log_e_per_block{};
};

/**
 * @brief CUSUM test of the new version against the old version over the same periods.
 *
 * The old version's rate is assumed to be its current estimate, and also several fixed values, as
 * the estimate is wrong when a load begins that makes both versions fail. For each assumed rate and
 * each effect size, the logarithms of the blocks' e-values are added up and the sum is clamped
 * at zero, so that a fault with a late onset is detected as fast as an immediate one. Without a
 * fault, the probability that a sum reaches a threshold h within n blocks is at most n exp(-h).
 */
class sequential_detector {
public:
    explicit sequential_detector(const detector_settings& settings) noexcept : settings_{settings}
    {
    }

    /** @brief Adds the counts of one period; evaluated as a block once both versions have calls. */
    void observe(const sample_counts& old_counts, const sample_counts& new_counts);

    /** @brief Adds the counts of a period without calls of the old version; detects only the
     * largest effect size, and only if enough calls of the old version are known. */
    void observe_new_only(const sample_counts& new_counts);

    /** @return The largest sum. */
    [[nodiscard]] double score() const noexcept;

    /** @return The current estimate of the old version's rate. */
    [[nodiscard]] double old_rate() const noexcept;

private:
    using effect_sums = std::array<double, effect_size_count>;

    void evaluate_block();

    detector_settings settings_;
    std::array<effect_sums, assumed_rate_count> sums_{};
    sample_counts old_block_;
    sample_counts new_block_;
    std::uint64_t known_old_calls_{};
    double old_calls_{};
    double old_hits_{};
};

} // namespace savorywheel

#endif
