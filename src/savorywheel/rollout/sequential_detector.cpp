#include <savorywheel/rollout/sequential_detector.hpp>
#include <savorywheel/rollout/two_sample_test.hpp>

#include <algorithm>

namespace savorywheel {

namespace {

constexpr double max_rate = 0.99;
constexpr std::array<double, assumed_rate_count - 1> fixed_rates{0.05, 0.15, 0.3, 0.5, 0.7};
/** The old version's rate is that of about the last ten blocks, so that it follows an overload. */
constexpr double baseline_decay_per_block = 0.9;
/** Calls of the old version that must be known before the new one is compared with its rate. */
constexpr std::uint64_t min_baseline_calls = 20;
constexpr double new_only_tolerated_factor = 3.0;
constexpr double new_only_tolerated_excess = 0.05;

} // namespace

void sequential_detector::observe(const sample_counts& old_counts, const sample_counts& new_counts)
{
    old_block_ += old_counts;
    known_old_calls_ += old_counts.calls;
    new_block_ += new_counts;
    if (old_block_.calls > 0 && new_block_.calls > 0) {
        evaluate_block();
        new_block_ = {};
    }
    if (new_block_.calls == 0) {
        old_calls_ = old_calls_ * baseline_decay_per_block + static_cast<double>(old_block_.calls);
        old_hits_ = old_hits_ * baseline_decay_per_block + static_cast<double>(old_block_.hits);
        old_block_ = {};
    }
}

void sequential_detector::observe_new_only(const sample_counts& new_counts)
{
    if (known_old_calls_ < min_baseline_calls) {
        return;
    }
    const auto rate = old_rate();
    const auto null_rate = std::min(
        std::max(rate * new_only_tolerated_factor, rate + new_only_tolerated_excess), max_rate);
    const auto alternative_rate = std::min(rate + settings_.effect_sizes.back(), max_rate);
    if (alternative_rate > null_rate) {
        auto& sum = sums_.front().back();
        const auto block = log_likelihood_ratio(new_counts, null_rate, alternative_rate);
        sum = std::max(0.0, sum + std::min(block, settings_.max_log_e_per_block));
    }
}

double sequential_detector::score() const noexcept
{
    double highest = 0.0;
    for (const auto& sums : sums_) {
        highest = std::max(highest, std::ranges::max(sums));
    }
    return highest;
}

double sequential_detector::old_rate() const noexcept
{
    return (old_hits_ + settings_.prior_rate * settings_.prior_calls) /
           (old_calls_ + settings_.prior_calls);
}

void sequential_detector::evaluate_block()
{
    const auto estimate = std::min(old_rate(), max_rate);
    for (std::size_t i = 0; i < assumed_rate_count; ++i) {
        const auto rate = i == 0 ? estimate : fixed_rates.at(i - 1);
        for (std::size_t j = 0; j < effect_size_count; ++j) {
            const auto alternative_rate = std::min(rate + settings_.effect_sizes.at(j), max_rate);
            const auto block = log_e_value(old_block_, new_block_, {rate, alternative_rate});
            auto& sum = sums_.at(i).at(j);
            sum = std::max(0.0, sum + std::min(block, settings_.max_log_e_per_block));
        }
    }
}

} // namespace savorywheel
