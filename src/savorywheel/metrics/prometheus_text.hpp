#ifndef SAVORYWHEEL_METRICS_PROMETHEUS_TEXT_HPP
#define SAVORYWHEEL_METRICS_PROMETHEUS_TEXT_HPP

#include <savorywheel/metrics/latency_summary.hpp>
#include <savorywheel/metrics/metric_key.hpp>

#include <string>
#include <string_view>

namespace savorywheel {

/**
 * @brief Writes metrics in the Prometheus text format.
 *
 * All series of a metric must be added consecutively. The prometheus-cpp library is not used
 * because Debian's prometheus-cpp-dev conflicts with libulfius-dev: they need different builds of
 * libcurl.
 */
class prometheus_text {
public:
    void add_counter(const metric_key& key, std::uint64_t value) { add("counter", key, value); }

    void add_gauge(const metric_key& key, std::uint64_t value) { add("gauge", key, value); }

    /** @brief Adds a histogram in seconds, and gauges for mean, p50, p99 and maximum in ms. */
    void add_latency(std::string_view name, const latency_summary& summary);

    /** @return The text of all metrics added so far. */
    [[nodiscard]] const std::string& str() const noexcept { return text_; }

private:
    void add(std::string_view type, const metric_key& key, std::uint64_t value);
    void add_estimate(std::string_view name, std::string_view kind, double milliseconds);
    /** Writes the "# TYPE" line before the first series of a metric. */
    void write_type_line(std::string_view type, std::string_view name);

    std::string text_;
    std::string last_name_;
};

} // namespace savorywheel

#endif
