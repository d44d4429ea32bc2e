#include <savorywheel/traffic/service_time_table.hpp>

#include <algorithm>

namespace savorywheel {

namespace {

/** More routes than a backend server serves in practice; 64 entries take below 10 KB. */
constexpr std::size_t max_routes = 64;
/**
 * A call is short at a third of the size that most of the work comes in. Lookups of 190 ms next to
 * reports of 750 ms are not short, inner calls of 30 or 55 ms next to calls of 120 to 750 ms are.
 */
constexpr int short_divisor = 3;
/** The mix of calls changes slowly, compared to the times of the calls. */
constexpr int mix_smoothing = 64;

} // namespace

void service_time_table::record(std::string_view route, duration sample)
{
    all_.record(sample);
    auto found = routes_.find(route);
    if (found == routes_.end()) {
        if (routes_.size() >= max_routes) {
            remove_least_recent();
        }
        found = routes_.emplace(std::string{route}, entry{}).first;
    }
    auto& known = found->second;
    known.times.record(sample);
    known.last_used = ++uses_;
    // Work comes in sizes weighted by themselves: the ratio of second and first moment.
    const auto mean = known.times.mean();
    if (mean_of_means_ == duration::zero()) {
        mean_of_means_ = size_by_work_ = mean;
        return;
    }
    mean_of_means_ += (mean - mean_of_means_) / mix_smoothing;
    if (mean_of_means_ > duration::zero()) {
        const double weight = static_cast<double>(mean.count()) /
                              static_cast<double>(mean_of_means_.count()) / mix_smoothing;
        const auto change = static_cast<double>((mean - size_by_work_).count());
        size_by_work_ += duration{static_cast<duration::rep>(change * std::min(weight, 1.0))};
    }
}

expected_service service_time_table::expect(std::string_view route) const
{
    const auto found = routes_.find(route);
    if (found == routes_.end() || !found->second.times.known()) {
        return {all_.mean(), all_.high(), false};
    }
    const auto& times = found->second.times;
    return {times.mean(), times.high(), times.mean() * short_divisor <= size_by_work_};
}

void service_time_table::remove_least_recent()
{
    routes_.erase(std::ranges::min_element(
        routes_, {}, [](const auto& known) { return known.second.last_used; }));
}

} // namespace savorywheel
