#ifndef SAVORYWHEEL_ROLLOUT_SEQUENTIAL_DETECTOR_HPP
#define SAVORYWHEEL_ROLLOUT_SEQUENTIAL_DETECTOR_HPP

#include <savorywheel/rollout/sample_counts.hpp>

#include <array>
#include <cstddef>

namespace savorywheel {

/** @brief Number of degrees of harm that a detector looks for. */
inline constexpr std::size_t effect_size_count = 3;

/** @brief How a sequential detector judges one property of calls. */
struct detector_settings {
    /** @brief Rate that the old version is expected to have before it was seen. */
    double prior_rate{};
    /** @brief Calls that the expectation counts as. */
    double prior_calls{};
    /** @brief Degrees of harm: what the new version has more than the old one. */
    std::array<double, effect_size_count> effect_sizes{};
    /** @brief Most that one block may add, so that one short stall of a server does not decide. */
    double max_log_e_per_block{};
};

/**
 * @brief Cumulative-sum test of the new version against the old one over the same time.
 *
 * For each degree of harm the logarithms of the blocks' e-values are added and held at zero or
 * more, so that a fault that begins late is found as soon as one that begins at once. The
 * probability that a sum reaches a threshold h by chance within n blocks is at most n exp(-h).
 */
class sequential_detector {
public:
    /** @param settings How to judge. */
    explicit sequential_detector(const detector_settings& settings) noexcept : settings_{settings}
    {
    }

    /** @brief Takes what was seen in one period; waits with it until both versions had calls. */
    void observe(const sample_counts& old_counts, const sample_counts& new_counts);

    /** @brief Takes what was seen when only the new version had calls: only gross harm counts. */
    void observe_new_only(const sample_counts& new_counts);

    /** @return The greatest sum. */
    [[nodiscard]] double score() const noexcept;

    /** @return The old version's rate, from what was seen so far. */
    [[nodiscard]] double old_rate() const noexcept;

private:
    void evaluate_block();

    detector_settings settings_;
    std::array<double, effect_size_count> sums_{};
    sample_counts old_block_;
    sample_counts new_block_;
    double old_calls_{};
    double old_hits_{};
};

} // namespace savorywheel

#endif
