#include <savorywheel/admin/admin_handler.hpp>
#include <savorywheel/node/node_http_limits.hpp>
#include <savorywheel/transport/frame_header.hpp>

namespace savorywheel {

namespace {

constexpr std::chrono::milliseconds short_request_drain_limit{200};
constexpr std::chrono::milliseconds short_request_drain_idle{50};
/** Operators and collectors of metrics use a few connections; each may hold a body of 2 MB. */
constexpr unsigned max_admin_connections = 24;
/** One backend server announces itself; each connection has a thread and its own buffers. */
constexpr unsigned max_announcement_connections = 64;
/** An announcement is a JSON object of a few hundred bytes. */
constexpr std::size_t max_announcement_bytes = 64UL * 1024UL;

} // namespace

http_server_limits short_request_limits()
{
    http_server_limits limits;
    limits.drain_limit = short_request_drain_limit;
    limits.drain_idle = short_request_drain_idle;
    return limits;
}

http_server_limits admin_limits()
{
    auto limits = short_request_limits();
    limits.max_body_bytes = max_admin_body_bytes;
    limits.max_buffered_body_bytes = max_admin_body_bytes;
    limits.max_connections = max_admin_connections;
    return limits;
}

http_server_limits announcement_limits()
{
    auto limits = short_request_limits();
    limits.max_body_bytes = max_announcement_bytes;
    limits.max_buffered_body_bytes = max_announcement_bytes;
    limits.max_connections = max_announcement_connections;
    return limits;
}

http_client_limits backend_response_limits()
{
    http_client_limits limits;
    limits.max_body_bytes = max_frame_bytes / 2;
    limits.max_buffered_bytes = 2 * limits.max_body_bytes;
    return limits;
}

} // namespace savorywheel
