#include <savorywheel/rollout/two_sample_test.hpp>

#include <cmath>

namespace savorywheel {

double log_likelihood_ratio(const sample_counts& counts, double null_rate,
                            double other_rate) noexcept
{
    const auto hits = static_cast<double>(counts.hits);
    const auto misses = static_cast<double>(counts.calls - counts.hits);
    return hits * std::log(other_rate / null_rate) +
           misses * std::log((1.0 - other_rate) / (1.0 - null_rate));
}

double log_e_value(const sample_counts& old_counts, const sample_counts& new_counts,
                   const rate_pair& rates) noexcept
{
    const auto old_calls = static_cast<double>(old_counts.calls);
    const auto new_calls = static_cast<double>(new_counts.calls);
    if (old_calls + new_calls <= 0.0) {
        return 0.0;
    }
    const auto pooled_rate =
        (old_calls * rates.old_rate + new_calls * rates.new_rate) / (old_calls + new_calls);
    return log_likelihood_ratio(old_counts, pooled_rate, rates.old_rate) +
           log_likelihood_ratio(new_counts, pooled_rate, rates.new_rate);
}

} // namespace savorywheel
