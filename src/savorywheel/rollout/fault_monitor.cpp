#include <savorywheel/rollout/fault_monitor.hpp>
#include <savorywheel/rollout/move_shares.hpp>
#include <savorywheel/rollout/step_schedule.hpp>

#include <algorithm>
#include <cmath>

namespace savorywheel {

namespace {

constexpr std::chrono::milliseconds max_warm_up{10'000};
/** Limits the warm-up to a fraction of a short move, so that time remains to evaluate latency. */
constexpr int warm_up_divisor = 4;
/** Until the move is done, and again as many afterwards. */
constexpr double false_alarms_per_phase = 0.005;
constexpr std::chrono::seconds min_monitoring_time{10};
constexpr std::chrono::seconds default_monitoring_time{600};
constexpr std::chrono::seconds max_monitoring_time{86'400};
/** A stall of one server may fill a block, whose weight is limited, so blocks are not shorter. */
constexpr std::chrono::milliseconds latency_block_time{1000};
constexpr const char* all_routes = "all";

struct sample_pair {
    route_sample old_sample;
    route_sample new_sample;
};

void add_failures(const route_evidence& item, route_sample& sample)
{
    sample.failures += {item.calls, std::min(item.failures, item.calls)};
    sample.failed_at.insert(item.failed_at.begin(), item.failed_at.end());
}

void add_latencies(const route_evidence& item, route_sample& sample)
{
    sample.latencies.add(item.latencies);
}

/** Groups evidence by route, and also over all routes, which detects small faults sooner. */
std::map<route_stratum, sample_pair> group(const rollout_view& view)
{
    const auto& move = *view.service.move;
    std::map<route_stratum, sample_pair> routes;
    const auto add = [&](const std::string& route, const route_evidence& item, bool is_new) {
        auto& failures = routes[{route, route_distance::any}];
        add_failures(item, is_new ? failures.new_sample : failures.old_sample);
        auto& latencies = routes[{route, item.other_region ? route_distance::other_region
                                                           : route_distance::same_region}];
        add_latencies(item, is_new ? latencies.new_sample : latencies.old_sample);
    };
    for (const auto& item : view.evidence) {
        const bool is_new = gains_share(move, item.version);
        if (!is_new && !loses_share(move, item.version)) {
            continue;
        }
        add(item.route, item, is_new);
        if (view.service.spec.routes.size() > 1) {
            add(all_routes, item, is_new);
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
    const bool latency_due = view.now - latency_evaluated_at_ >= latency_block_time;
    if (latency_due) {
        latency_evaluated_at_ = view.now;
    }
    for (const auto& [stratum, pair] : samples) {
        auto& monitor = routes_[stratum];
        if (old_versions_drained) {
            monitor.observe_new_only(pair.new_sample);
        }
        else {
            monitor.observe(pair.old_sample, pair.new_sample, warmed_up(view));
            if (latency_due) {
                monitor.evaluate_latency();
            }
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

double fault_threshold(const rollout_move& move, std::size_t stratum_count,
                       std::size_t monitor_count)
{
    const bool has_plan = move.due && move.status == move_status::in_progress;
    const auto planned_time =
        has_plan ? std::chrono::floor<std::chrono::seconds>(*move.due - move.started_at)
                 : default_monitoring_time;
    const auto monitoring_time = std::clamp(planned_time, min_monitoring_time, max_monitoring_time);
    const auto evaluations = monitoring_time / evidence_period(move);
    const auto test_count = std::max<std::size_t>(stratum_count, 1) * assumed_rate_count *
                            effect_size_count * std::max<std::size_t>(monitor_count, 1);
    return std::log(static_cast<double>(evaluations) * static_cast<double>(test_count) /
                    false_alarms_per_phase);
}

} // namespace savorywheel
