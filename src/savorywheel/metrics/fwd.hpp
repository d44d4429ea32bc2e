#ifndef SAVORYWHEEL_METRICS_FWD_HPP
#define SAVORYWHEEL_METRICS_FWD_HPP

namespace savorywheel {

class latency_recorder;
class metric_registry;
class metric_source;
class prometheus_text;
class process_metric_source;
class region_byte_meter;
struct latency_summary;
struct metric_key;

} // namespace savorywheel

#endif
