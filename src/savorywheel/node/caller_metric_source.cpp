#include <savorywheel/metrics/metric_registry.hpp>
#include <savorywheel/node/caller_metric_source.hpp>

namespace savorywheel {

void caller_metric_source::collect(metric_registry& registry)
{
    registry.gauge({"caller_bytes_held", "listener", "traffic"}) = traffic_.held_bytes();
    registry.gauge({"caller_bytes_held", "listener", "readiness"}) = readiness_.held_bytes();
}

} // namespace savorywheel
