#ifndef SAVORYWHEEL_METRICS_METRIC_REGISTRY_HPP
#define SAVORYWHEEL_METRICS_METRIC_REGISTRY_HPP

#include <savorywheel/metrics/latency_recorder.hpp>
#include <savorywheel/metrics/metric_key.hpp>
#include <savorywheel/metrics/metric_source.hpp>

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace savorywheel {

/** @brief Counters, gauges and latency histograms of a process; thread-safe. */
class metric_registry {
public:
    using counter = std::atomic<std::uint64_t>;

    /** @return The counter, created at 0 if new; valid for the lifetime of the registry. */
    [[nodiscard]] counter& count(std::string_view name)
    {
        return count(metric_key{std::string{name}});
    }

    /** @copydoc count(std::string_view) */
    [[nodiscard]] counter& count(const metric_key& key);

    /** @return The gauge, created at 0 if new; valid for the lifetime of the registry. */
    [[nodiscard]] counter& gauge(const metric_key& key);

    /** @return The recorder, created if new; valid for the lifetime of the registry. */
    [[nodiscard]] latency_recorder& latency(std::string_view name);

    /**
     * @brief Adds a source that render() collects from before it writes the metrics.
     * @param source Must outlive the registry.
     * @warning Not thread-safe; call it before other threads use the registry.
     */
    void add_source(metric_source& source) { sources_.push_back(&source); }

    /** @return All metrics in the Prometheus text format. */
    [[nodiscard]] std::string render();

private:
    std::mutex mutex_;
    std::vector<metric_source*> sources_;
    std::map<metric_key, counter> counters_;
    std::map<metric_key, counter> gauges_;
    std::map<std::string, latency_recorder, std::less<>> latencies_;
};

} // namespace savorywheel

#endif
