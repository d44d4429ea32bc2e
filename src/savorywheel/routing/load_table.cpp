#include <savorywheel/routing/load_table.hpp>

#include <algorithm>
#include <cmath>
#include <vector>

namespace savorywheel {

namespace {

/** Time constant of the decay: by then most of the reported calls have finished. */
constexpr std::chrono::duration<double> report_decay_time{1.0};
/** Time constant of the decay of reported work. A node calls a backend server of a large service
 * about once a second, and a busy one is usually still busy then. Longer times hardly improve the
 * placement (docs/design/request-cost.md), and keep calls away from one that was busy once. */
constexpr std::chrono::duration<double> work_decay_time{4.0};
/** Bounds what a faulty report can do. */
constexpr std::chrono::microseconds max_reported_work{std::chrono::minutes{10}};
constexpr std::size_t max_entries = 4096;

} // namespace

void load_table::begin(const node_id& endpoint, const sent_call& call)
{
    const std::scoped_lock lock{mutex_};
    auto& item = entries_[endpoint];
    ++item.in_flight;
    item.work.begin(call);
}

void load_table::end(const node_id& endpoint, const sent_call& call)
{
    const std::scoped_lock lock{mutex_};
    auto& item = entries_[endpoint];
    if (item.in_flight > 0) {
        --item.in_flight;
    }
    item.work.end(call);
    if (entries_.size() > max_entries) {
        std::erase_if(entries_, [](const auto& known) { return known.second.in_flight == 0; });
    }
}

void load_table::report(const node_id& endpoint, const gate_load& load, monotonic_time now)
{
    const std::scoped_lock lock{mutex_};
    auto& item = entries_[endpoint];
    const auto calls = load.running + load.waiting;
    item.calls_of_other_nodes = calls - std::min(calls, item.in_flight);
    item.service_time = load.service_time;
    if (item.service_time > duration::zero()) {
        item.mean_service_time.record(static_cast<double>(item.service_time.count()));
    }
    item.reported_at = now;
    item.work.report(std::clamp(load.work, std::chrono::microseconds::zero(), max_reported_work),
                     now);
}

void load_table::record_run(const node_id& endpoint, duration run_time, duration typical,
                            duration total)
{
    const std::scoped_lock lock{mutex_};
    auto& item = entries_[endpoint];
    item.speed.record(run_time, typical);
    item.work.record_overhead(total - run_time);
}

void load_table::read(std::span<endpoint_candidate> candidates, monotonic_time now)
{
    const std::scoped_lock lock{mutex_};
    std::vector<entry*> found;
    found.reserve(candidates.size());
    double sum = 0.0;
    int reported = 0;
    for (const auto& candidate : candidates) {
        const auto known = entries_.find(candidate.endpoint->node);
        found.push_back(known == entries_.end() ? nullptr : &known->second);
        if (found.back() != nullptr && found.back()->mean_service_time.samples() > 0) {
            sum += found.back()->mean_service_time.mean();
            ++reported;
        }
    }
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (auto* item = found[i]) {
            item->speed.set_reported(item->mean_service_time.mean() * reported /
                                     std::max(sum, 1.0));
            candidates[i].load = load_of(*item, now);
        }
    }
}

endpoint_load load_table::load_of(const node_id& endpoint, monotonic_time now) const
{
    const std::scoped_lock lock{mutex_};
    const auto found = entries_.find(endpoint);
    return found == entries_.end() ? endpoint_load{} : load_of(found->second, now);
}

std::uint32_t load_table::in_flight(const node_id& endpoint) const
{
    const std::scoped_lock lock{mutex_};
    const auto found = entries_.find(endpoint);
    return found == entries_.end() ? 0 : found->second.in_flight;
}

endpoint_load load_table::load_of(const entry& item, monotonic_time now)
{
    endpoint_load load;
    const std::chrono::duration<double> age = now - item.reported_at;
    const auto reports_work = item.work.reported();
    const auto decay = std::exp(-(age / (reports_work ? work_decay_time : report_decay_time)));
    load.in_flight = item.in_flight;
    load.calls = item.in_flight + item.calls_of_other_nodes * decay;
    load.service_time = item.service_time;
    load.slowness = item.speed.slowness();
    load.reports_work = reports_work;
    load.work = load.reports_work
                    ? item.work.at(now, decay, item.service_time)
                    : std::chrono::duration_cast<duration>(load.calls * item.service_time);
    return load;
}

} // namespace savorywheel
