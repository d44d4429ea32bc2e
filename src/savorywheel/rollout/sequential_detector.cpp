#include <savorywheel/rollout/sequential_detector.hpp>
#include <savorywheel/rollout/two_sample_test.hpp>

#include <algorithm>

namespace savorywheel {

namespace {

constexpr double greatest_rate = 0.99;
constexpr double kept_share_per_block = 0.98;
constexpr double tolerated_factor_alone = 3.0;
constexpr double tolerated_excess_alone = 0.05;

} // namespace

void sequential_detector::observe(const sample_counts& old_counts, const sample_counts& new_counts)
{
    old_block_ += old_counts;
    new_block_ += new_counts;
    if (old_block_.calls > 0 && new_block_.calls > 0) {
        judge();
        new_block_ = {};
    }
    if (new_block_.calls == 0) {
        old_calls_ = old_calls_ * kept_share_per_block + static_cast<double>(old_block_.calls);
        old_hits_ = old_hits_ * kept_share_per_block + static_cast<double>(old_block_.hits);
        old_block_ = {};
    }
}

void sequential_detector::observe_alone(const sample_counts& new_counts)
{
    const auto rate = old_rate();
    const auto tolerated = std::min(
        std::max(rate * tolerated_factor_alone, rate + tolerated_excess_alone), greatest_rate);
    const auto gross = std::min(rate + settings_.excess.back(), greatest_rate);
    if (gross > tolerated) {
        auto& sum = sums_.back();
        const auto block = log_likelihood_ratio(new_counts, tolerated, gross);
        sum = std::max(0.0, sum + std::min(block, settings_.most_per_block));
    }
}

double sequential_detector::score() const noexcept
{
    return *std::ranges::max_element(sums_);
}

double sequential_detector::old_rate() const noexcept
{
    return (old_hits_ + settings_.prior_rate * settings_.prior_calls) /
           (old_calls_ + settings_.prior_calls);
}

void sequential_detector::judge()
{
    const auto rate = std::min(old_rate(), greatest_rate);
    for (std::size_t i = 0; i < harm_degrees; ++i) {
        const auto harmed = std::min(rate + settings_.excess[i], greatest_rate);
        const auto block = log_e_value(old_block_, new_block_, {rate, harmed});
        sums_[i] = std::max(0.0, sums_[i] + std::min(block, settings_.most_per_block));
    }
}

} // namespace savorywheel
