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

/** @brief Counters and latencies of a process by name; any thread may use it. */
class metric_registry {
public:
    /** @brief Value of a counter or a gauge. */
    using counter = std::atomic<std::uint64_t>;

    /** @return The counter of that name; it lives as long as the registry. */
    [[nodiscard]] counter& count(std::string_view name)
    {
        return count(metric_key{std::string{name}});
    }

    /** @copydoc count(std::string_view) */
    [[nodiscard]] counter& count(const metric_key& key);

    /** @return The value of that name, which may fall; it lives as long as the registry. */
    [[nodiscard]] counter& gauge(const metric_key& key);

    /** @return The latencies of that name; they live as long as the registry. */
    [[nodiscard]] latency_recorder& latency(std::string_view name);

    /**
     * @brief Adds a source that brings its values up to date before each render().
     * @param source The source; must outlive the registry.
     * @warning Call it before other threads use the registry.
     */
    void add_source(metric_source& source) { sources_.push_back(&source); }

    /** @return All values in the text format of Prometheus. */
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
