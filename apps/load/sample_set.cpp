#include <load/sample_set.hpp>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace savorywheel::load {

sample_set::sample_set(std::vector<double> values) : values_{std::move(values)}
{
    std::ranges::sort(values_);
}

void sample_set::add(double value)
{
    values_.insert(std::ranges::upper_bound(values_, value), value);
}

double sample_set::quantile(double share) const
{
    if (values_.empty()) {
        return 0.0;
    }
    const auto rank = std::ceil(share * static_cast<double>(values_.size()));
    const auto index = rank < 1.0 ? std::size_t{0} : static_cast<std::size_t>(rank) - 1;
    return values_[std::min(index, values_.size() - 1)];
}

double sample_set::mean() const
{
    if (values_.empty()) {
        return 0.0;
    }
    return std::accumulate(values_.begin(), values_.end(), 0.0) /
           static_cast<double>(values_.size());
}

} // namespace savorywheel::load
