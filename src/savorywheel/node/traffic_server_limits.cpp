#include <savorywheel/node/stop_schedule.hpp>
#include <savorywheel/node/traffic_server_limits.hpp>
#include <savorywheel/transport/frame_header.hpp>

#include <limits>

namespace savorywheel {

namespace {

/** Callers that retry during an overload open new connections; the limit bounds their memory. */
constexpr unsigned max_caller_connections = 500;

/** Half of the largest frame to another node, 8 MiB: while a call is sent, the server, the call and
 * the frame hold its body at once. */
constexpr std::size_t max_call_body_bytes = max_frame_bytes / 2;

} // namespace

http_server_limits traffic_server_limits(const node_settings& settings)
{
    http_server_limits limits;
    const auto stop = make_stop_schedule(settings);
    limits.drain_limit = stop.interruption - stop.notice;
    limits.interruption_limit = stop.close - stop.interruption;
    limits.idle_timeout = settings.idle_timeout;
    limits.max_connections = max_caller_connections;
    limits.max_body_bytes = std::numeric_limits<std::size_t>::max();
    limits.max_buffered_body_bytes = max_call_body_bytes;
    return limits;
}

} // namespace savorywheel
