#ifndef SAVORYWHEEL_NODE_NODE_HTTP_LIMITS_HPP
#define SAVORYWHEEL_NODE_NODE_HTTP_LIMITS_HPP

#include <savorywheel/http/http_client_limits.hpp>
#include <savorywheel/http/http_server_limits.hpp>

namespace savorywheel {

/** @return Limits of servers of short requests, which clients repeat later or at another node. */
[[nodiscard]] http_server_limits short_request_limits();

/** @return Limits of the server for the announcements of the backend server on the same VM. */
[[nodiscard]] http_server_limits announcement_limits();

/** @return Limits of the administration API; operators settle an operation without a response. */
[[nodiscard]] http_server_limits admin_limits();

/**
 * @return Limits of backend servers' responses, each of which travels to the caller's node in one
 * frame with its header fields.
 */
[[nodiscard]] http_client_limits backend_response_limits();

} // namespace savorywheel

#endif
