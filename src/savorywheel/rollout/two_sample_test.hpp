#ifndef SAVORYWHEEL_ROLLOUT_TWO_SAMPLE_TEST_HPP
#define SAVORYWHEEL_ROLLOUT_TWO_SAMPLE_TEST_HPP

#include <savorywheel/rollout/sample_counts.hpp>

namespace savorywheel {

/** @brief Rates of a property under the alternative hypothesis that the new version is worse. */
struct rate_pair {
    double old_rate{};
    /** @brief Rate of the new version; greater than old_rate. */
    double new_rate{};
};

/**
 * @brief Logarithm of the e-value of one block against the null hypothesis "the new version is no
 * worse".
 *
 * The e-value is the likelihood under the pair of rates divided by the likelihood under a common
 * rate, the mean weighted by calls. Its expectation is at most one if both versions have the same
 * rate, whatever that rate is, so that products over blocks can be tested at any time (Ville's
 * inequality).
 * @param old_counts Calls of the old version in the block.
 * @param new_counts Calls of the new version in the block.
 * @param rates Rates chosen independently of the block's data; both in the open interval (0, 1).
 */
[[nodiscard]] double log_e_value(const sample_counts& old_counts, const sample_counts& new_counts,
                                 const rate_pair& rates) noexcept;

/**
 * @brief Logarithm of the likelihood ratio of one sample between two rates.
 * @param null_rate Rate in the denominator.
 * @param other_rate Rate in the numerator.
 */
[[nodiscard]] double log_likelihood_ratio(const sample_counts& counts, double null_rate,
                                          double other_rate) noexcept;

} // namespace savorywheel

#endif
