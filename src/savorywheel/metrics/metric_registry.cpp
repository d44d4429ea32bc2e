#include <savorywheel/metrics/metric_registry.hpp>
#include <savorywheel/metrics/prometheus_text.hpp>

namespace savorywheel {

metric_registry::counter& metric_registry::count(const metric_key& key)
{
    const std::scoped_lock lock{mutex_};
    return counters_[key];
}

metric_registry::counter& metric_registry::gauge(const metric_key& key)
{
    const std::scoped_lock lock{mutex_};
    return gauges_[key];
}

latency_recorder& metric_registry::latency(std::string_view name)
{
    const std::scoped_lock lock{mutex_};
    return latencies_[std::string{name}];
}

std::string metric_registry::render()
{
    for (auto* source : sources_) {
        source->collect(*this);
    }
    prometheus_text text;
    const std::scoped_lock lock{mutex_};
    for (const auto& [key, value] : counters_) {
        text.add_counter(key, value);
    }
    for (const auto& [key, value] : gauges_) {
        text.add_gauge(key, value);
    }
    for (const auto& [name, recorder] : latencies_) {
        text.add_latency(name, recorder.summary());
    }
    return text.str();
}

} // namespace savorywheel
