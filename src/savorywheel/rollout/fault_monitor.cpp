#include <savorywheel/rollout/fault_monitor.hpp>
#include <savorywheel/rollout/move_shares.hpp>

#include <algorithm>
#include <cmath>

namespace savorywheel {

namespace {

constexpr std::chrono::milliseconds max_warm_up{10'000};
/** Limits the warm-up to a fraction of a short move, so that time remains to evaluate latency. */
constexpr int warm_up_divisor = 4;
constexpr double false_alarms_per_move = 0.01;
constexpr std::chrono::seconds min_monitoring_time{600};
constexpr std::chrono::seconds max_monitoring_time{86'400};
constexpr std::size_t properties_per_route = 2;
constexpr std::size_t strata_per_route = 2;
constexpr const char* all_routes = "all";

struct sample_pair {
    route_sample old_sample;
    route_sample new_sample;
};

void add(const route_evidence& item, route_sample& sample)
{
    sample.failures += {item.calls, std::min(item.failures, item.calls)};
    sample.latencies.add(item.latencies);
    sample.failed_at.insert(item.failed_at.begin(), item.failed_at.end());
}

void add(const rollout_move& move, const route_evidence& item, sample_pair& pair)
{
    if (gains_share(move, item.version)) {
        add(item, pair.new_sample);
    }
    else if (loses_share(move, item.version)) {
        add(item, pair.old_sample);
    }
}

/** Groups evidence by route, and also over all routes, which detects small faults sooner. */
std::map<route_stratum, sample_pair> group(const rollout_view& view)
{
    std::map<route_stratum, sample_pair> routes;
    for (const auto& item : view.evidence) {
        add(*view.service.move, item, routes[{item.route, item.other_region}]);
        if (view.service.spec.routes.size() > 1) {
            add(*view.service.move, item, routes[{all_routes, item.other_region}]);
        }
    }
    return routes;
}

std::chrono::milliseconds warm_up_of(const rollout_move& move)
{
    if (!move.due) {
        return max_warm_up;
    }
    return std::min<std::chrono::milliseconds>((*move.due - move.started_at) / warm_up_divisor,
                                               max_warm_up);
}

bool old_versions_have_share(const service_state& service)
{
    return std::ranges::any_of(service.effective_weights(), [&](const version_weight& weight) {
        return weight.permille > 0 && loses_share(*service.move, weight.version);
    });
}

} // namespace

void fault_monitor::observe(const rollout_view& view)
{
    const bool old_versions_drained = !old_versions_have_share(view.service);
    const auto samples = group(view);
    for (const auto& [stratum, pair] : samples) {
        if (stratum.route != all_routes) {
            new_calls_ += pair.new_sample.failures;
            old_calls_ += pair.old_sample.failures;
        }
        if (new_calls_.calls > 0 && !first_new_call_) {
            first_new_call_ = view.now;
        }
    }
    for (const auto& [stratum, pair] : samples) {
        auto& monitor = routes_[stratum];
        if (old_versions_drained) {
            monitor.observe_new_only(pair.new_sample);
        }
        else {
            monitor.observe(pair.old_sample, pair.new_sample, warmed_up(view));
        }
    }
    strongest_ = {};
    for (const auto& [stratum, monitor] : routes_) {
        auto item = monitor.finding(stratum.route, view.new_servers);
        if (item.score > strongest_.score) {
            strongest_ = std::move(item);
        }
    }
}

bool fault_monitor::warmed_up(const rollout_view& view) const
{
    return first_new_call_ && view.now - *first_new_call_ >= warm_up_of(*view.service.move);
}

double fault_threshold(const service_state& service, std::size_t monitor_count)
{
    const auto& move = *service.move;
    const auto planned_time =
        move.due ? std::chrono::floor<std::chrono::seconds>(*move.due - move.started_at)
                 : min_monitoring_time;
    const auto monitoring_time = std::clamp(planned_time, min_monitoring_time, max_monitoring_time);
    const auto test_count = (service.spec.routes.size() + 1) * effect_size_count *
                            properties_per_route * strata_per_route *
                            std::max<std::size_t>(monitor_count, 1);
    return std::log(static_cast<double>(monitoring_time.count()) * static_cast<double>(test_count) /
                    false_alarms_per_move);
}

} // namespace savorywheel
