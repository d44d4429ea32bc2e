#include <savorywheel/routing/load_table.hpp>

#include <algorithm>
#include <cmath>

namespace savorywheel {

namespace {

/** Time constant of the decay: by then most of the reported calls have finished. */
constexpr std::chrono::duration<double> report_decay_time{1.0};
constexpr std::size_t max_entries = 4096;

} // namespace

void load_table::begin(const node_id& endpoint)
{
    const std::scoped_lock lock{mutex_};
    ++entries_[endpoint].in_flight;
}

void load_table::end(const node_id& endpoint)
{
    const std::scoped_lock lock{mutex_};
    auto& item = entries_[endpoint];
    if (item.in_flight > 0) {
        --item.in_flight;
    }
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
    item.reported_at = now;
}

std::uint32_t load_table::in_flight(const node_id& endpoint) const
{
    const std::scoped_lock lock{mutex_};
    const auto found = entries_.find(endpoint);
    return found == entries_.end() ? 0 : found->second.in_flight;
}

double load_table::expected_calls(const node_id& endpoint, monotonic_time now) const
{
    const std::scoped_lock lock{mutex_};
    const auto found = entries_.find(endpoint);
    if (found == entries_.end()) {
        return 0.0;
    }
    const auto& item = found->second;
    const std::chrono::duration<double> age = now - item.reported_at;
    return item.in_flight + item.calls_of_other_nodes * std::exp(-(age / report_decay_time));
}

duration load_table::service_time(const node_id& endpoint) const
{
    const std::scoped_lock lock{mutex_};
    const auto found = entries_.find(endpoint);
    return found == entries_.end() ? duration::zero() : found->second.service_time;
}

} // namespace savorywheel
