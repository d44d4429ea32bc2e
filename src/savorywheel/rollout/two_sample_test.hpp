#ifndef SAVORYWHEEL_ROLLOUT_TWO_SAMPLE_TEST_HPP
#define SAVORYWHEEL_ROLLOUT_TWO_SAMPLE_TEST_HPP

#include <savorywheel/rollout/sample_counts.hpp>

namespace savorywheel {

/** @brief Rates of a property under the hypothesis that the new version is worse. */
struct rate_pair {
    /** @brief Rate of the old version. */
    double old_rate{};
    /** @brief Rate of the new version; greater. */
    double new_rate{};
};

/**
 * @brief Logarithm of the e-value of one block against "the new version is no worse".
 *
 * The likelihood under the pair is divided by that under one rate for both, the mean weighted by
 * the calls. Its expectation is at most one if both versions have the same rate, whatever that rate
 * is, so that products of blocks can be checked at any time (Ville's inequality).
 * @param old_counts Calls of the old version in the block.
 * @param new_counts Calls of the new version in the block.
 * @param rates Rates chosen before the block was seen; both between zero and one, exclusive.
 */
[[nodiscard]] double log_e_value(const sample_counts& old_counts, const sample_counts& new_counts,
                                 const rate_pair& rates) noexcept;

/**
 * @brief Logarithm of the likelihood ratio of one sample between two rates.
 * @param counts Calls.
 * @param null_rate Rate in the denominator.
 * @param other_rate Rate in the numerator.
 */
[[nodiscard]] double log_likelihood_ratio(const sample_counts& counts, double null_rate,
                                          double other_rate) noexcept;

} // namespace savorywheel

#endif
