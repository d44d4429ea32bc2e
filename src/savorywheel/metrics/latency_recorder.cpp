#include <savorywheel/metrics/latency_recorder.hpp>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <algorithm>
#include <array>
#include <mutex>
#include <numeric>

namespace savorywheel {

namespace {

namespace acc = boost::accumulators;

constexpr double median = 0.5;
constexpr double percentile_99 = 0.99;

using quantile = acc::accumulator_set<double, acc::stats<acc::tag::p_square_quantile>>;
using moments =
    acc::accumulator_set<double,
                         acc::stats<acc::tag::count, acc::tag::sum, acc::tag::mean, acc::tag::max>>;

} // namespace

/** Implementation, so that the header does not include Boost.Accumulators. */
class latency_recorder::state {
public:
    void record(double milliseconds)
    {
        const std::scoped_lock lock{mutex_};
        moments_(milliseconds);
        ++buckets_.at(static_cast<std::size_t>(
            std::ranges::lower_bound(latency_bounds_ms, milliseconds) - latency_bounds_ms.begin()));
        p50_(milliseconds);
        p99_(milliseconds);
    }

    latency_summary summary() const
    {
        const std::scoped_lock lock{mutex_};
        latency_summary result;
        result.count = acc::count(moments_);
        if (result.count > 0) {
            result.mean_ms = acc::mean(moments_);
            result.sum_ms = acc::sum(moments_);
            result.max_ms = acc::max(moments_);
            result.p50_ms = acc::p_square_quantile(p50_);
            result.p99_ms = acc::p_square_quantile(p99_);
        }
        std::partial_sum(buckets_.begin(), buckets_.end(), result.buckets.begin());
        return result;
    }

private:
    mutable std::mutex mutex_;
    moments moments_;
    std::array<std::uint64_t, latency_bounds_ms.size() + 1> buckets_{};
    quantile p50_{acc::quantile_probability = median};
    quantile p99_{acc::quantile_probability = percentile_99};
};

latency_recorder::latency_recorder() : state_{std::make_unique<state>()} {}

latency_recorder::~latency_recorder() = default;

void latency_recorder::record(duration value)
{
    state_->record(std::chrono::duration<double, std::milli>(value).count());
}

latency_summary latency_recorder::summary() const
{
    return state_->summary();
}

} // namespace savorywheel
