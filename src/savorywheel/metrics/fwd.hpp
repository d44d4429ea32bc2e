#ifndef SAVORYWHEEL_METRICS_FWD_HPP
#define SAVORYWHEEL_METRICS_FWD_HPP

namespace savorywheel {

class latency_recorder;
class metric_registry;
struct latency_summary;

} // namespace savorywheel

#endif
