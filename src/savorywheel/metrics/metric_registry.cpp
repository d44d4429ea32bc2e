#include <savorywheel/metrics/metric_registry.hpp>

#include <fmt/format.h>

namespace savorywheel {

metric_registry::counter& metric_registry::count(std::string_view name)
{
    const std::scoped_lock lock{mutex_};
    return counters_[std::string{name}];
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
    const std::scoped_lock lock{mutex_};
    std::string text;
    for (const auto& [name, value] : counters_) {
        text += fmt::format("savorywheel_{} {}\n", name, value.load());
    }
    for (const auto& [name, recorder] : latencies_) {
        const auto summary = recorder.summary();
        text += fmt::format("savorywheel_{}_count {}\n", name, summary.count);
        text += fmt::format("savorywheel_{}_mean_ms {:.4f}\n", name, summary.mean_ms);
        text += fmt::format("savorywheel_{}_p50_ms {:.4f}\n", name, summary.p50_ms);
        text += fmt::format("savorywheel_{}_p99_ms {:.4f}\n", name, summary.p99_ms);
        text += fmt::format("savorywheel_{}_max_ms {:.4f}\n", name, summary.max_ms);
    }
    return text;
}

} // namespace savorywheel
