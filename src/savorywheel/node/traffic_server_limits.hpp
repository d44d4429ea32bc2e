#ifndef SAVORYWHEEL_NODE_TRAFFIC_SERVER_LIMITS_HPP
#define SAVORYWHEEL_NODE_TRAFFIC_SERVER_LIMITS_HPP

#include <savorywheel/http/http_server_limits.hpp>
#include <savorywheel/settings/node_settings.hpp>

namespace savorywheel {

/**
 * @return Limits of the server for callers' requests, until a configuration with limits is in
 * force. No body is too large before: one that the node cannot hold is refused as not run.
 */
[[nodiscard]] http_server_limits traffic_server_limits(const node_settings& settings);

/** @return Limits of the server for readiness probes. */
[[nodiscard]] http_server_limits readiness_server_limits(const node_settings& settings);

} // namespace savorywheel

#endif
