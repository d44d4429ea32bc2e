#include <savorywheel/node/node_http_limits.hpp>
#include <savorywheel/node/stop_schedule.hpp>
#include <savorywheel/node/traffic_server_limits.hpp>
#include <savorywheel/transport/frame_header.hpp>

#include <algorithm>
#include <limits>

namespace savorywheel {

namespace {

/** Probes come from few places, about one a second each. */
constexpr unsigned max_readiness_connections = 128;
/** Headers of the maximum size on most of these connections; bodies are not kept. */
constexpr std::size_t max_readiness_memory_bytes = 4UL * 1024UL * 1024UL;

} // namespace

static_assert(caller_resources{}.body_bytes == max_frame_bytes / 2);

http_server_limits traffic_server_limits(const node_settings& settings)
{
    http_server_limits limits;
    const auto stop = make_stop_schedule(settings);
    limits.drain_limit = stop.interruption - stop.notice;
    limits.interruption_limit = stop.close - stop.interruption;
    limits.idle_timeout = settings.idle_timeout;
    limits.max_connections = settings.callers.connections;
    limits.max_body_bytes = std::numeric_limits<std::size_t>::max();
    limits.max_buffered_body_bytes = settings.callers.body_bytes;
    limits.max_memory_bytes = settings.callers.memory_bytes;
    return limits;
}

http_server_limits readiness_server_limits(const node_settings& settings)
{
    auto limits = short_request_limits();
    limits.max_connections = std::min(settings.callers.connections, max_readiness_connections);
    limits.max_memory_bytes = std::min(settings.callers.memory_bytes, max_readiness_memory_bytes);
    limits.discards_bodies = true;
    return limits;
}

} // namespace savorywheel
