#ifndef SAVORYWHEEL_METRICS_PROMETHEUS_TEXT_HPP
#define SAVORYWHEEL_METRICS_PROMETHEUS_TEXT_HPP

#include <savorywheel/metrics/latency_summary.hpp>
#include <savorywheel/metrics/metric_key.hpp>

#include <string>
#include <string_view>

namespace savorywheel {

/**
 * @brief Writes values in the text format of Prometheus.
 *
 * Values of one metric must be added one after the other. Debian's prometheus-cpp-dev cannot be
 * installed beside libulfius-dev, as they need different builds of libcurl.
 */
class prometheus_text {
public:
    /** @brief Adds the value of a counter. */
    void add_counter(const metric_key& key, std::uint64_t value) { add("counter", key, value); }

    /** @brief Adds a value that may fall. */
    void add_gauge(const metric_key& key, std::uint64_t value) { add("gauge", key, value); }

    /** @brief Adds a distribution: a histogram in seconds, and estimates in milliseconds. */
    void add_latency(std::string_view name, const latency_summary& summary);

    /** @return What was added so far. */
    [[nodiscard]] const std::string& str() const noexcept { return text_; }

private:
    void add(std::string_view type, const metric_key& key, std::uint64_t value);
    void add_estimate(std::string_view name, std::string_view kind, double milliseconds);
    /** Writes the line that precedes the first value of a metric. */
    void write_type_line(std::string_view type, std::string_view name);

    std::string text_;
    std::string last_name_;
};

} // namespace savorywheel

#endif
