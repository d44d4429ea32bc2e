#ifndef SAVORYWHEEL_TRAFFIC_CALL_REQUEST_HPP
#define SAVORYWHEEL_TRAFFIC_CALL_REQUEST_HPP

#include <savorywheel/core/names.hpp>
#include <savorywheel/http/http_request.hpp>
#include <savorywheel/transport/peer_clock.hpp>

#include <chrono>
#include <cstdint>
#include <string>

namespace savorywheel {

/** @brief Request message to the node co-located with a backend server. */
struct call_request {
    /** @brief Request id in logs; empty if the caller sent none. */
    std::string request_id;
    service_name service;
    /** @brief Service on the VM where the request originated; empty if unknown. */
    service_name caller;
    /** @brief Selected version; a backend server of another version refuses the call. */
    version_name version;
    /** @brief Time left until the deadline. */
    std::chrono::milliseconds remaining{};
    /** @brief Deadline by the receiving node's clock; the call must not start after it. */
    peer_time expires{};
    /** @brief Time until the route's target latency is exceeded; negative if it has been, zero if
     * unknown. */
    std::chrono::milliseconds target_remaining{};
    /** @brief Path prefix of the route; calls of one route have similar service times. */
    std::string route;
    /** @brief Tenant of the caller; empty if it has none. */
    tenant_name tenant;
    /** @brief Priority of the tenant under overload, before that of the route; 0 is the highest. */
    std::uint32_t tenant_priority{};
    /** @brief Share of the tenant relative to others of its priority. */
    std::uint32_t tenant_weight{1};
    /** @brief Priority of the route under overload; 0 is the highest. */
    std::uint32_t priority{};
    /** @brief True if it may be run more than once. */
    bool idempotent{};
    http_request request;
};

} // namespace savorywheel

#endif
