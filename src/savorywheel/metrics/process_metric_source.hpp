#ifndef SAVORYWHEEL_METRICS_PROCESS_METRIC_SOURCE_HPP
#define SAVORYWHEEL_METRICS_PROCESS_METRIC_SOURCE_HPP

#include <savorywheel/metrics/metric_source.hpp>

namespace savorywheel {

/**
 * @brief CPU time, resident memory and threads of this process.
 *
 * Updates "process_cpu_us", "process_resident_kb", "process_threads", and "thread_cpu_us_NAME",
 * the sum over the live threads of each name. Unnamed threads, such as those of HTTP servers,
 * are counted under the name of the program.
 */
class process_metric_source final : public metric_source {
public:
    void collect(metric_registry& registry) override;
};

} // namespace savorywheel

#endif
