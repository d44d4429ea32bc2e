#ifndef SAVORYWHEEL_METRICS_METRIC_SOURCE_HPP
#define SAVORYWHEEL_METRICS_METRIC_SOURCE_HPP

namespace savorywheel {

class metric_registry;

/** @brief Updates metrics on demand, before they are rendered. */
class metric_source {
public:
    metric_source() = default;
    metric_source(const metric_source&) = delete;
    metric_source& operator=(const metric_source&) = delete;
    metric_source(metric_source&&) = delete;
    metric_source& operator=(metric_source&&) = delete;
    virtual ~metric_source() = default;

    /** @brief Stores the current values; called on the thread that renders the metrics. */
    virtual void collect(metric_registry& registry) = 0;
};

} // namespace savorywheel

#endif
