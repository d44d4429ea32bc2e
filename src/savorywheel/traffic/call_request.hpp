#ifndef SAVORYWHEEL_TRAFFIC_CALL_REQUEST_HPP
#define SAVORYWHEEL_TRAFFIC_CALL_REQUEST_HPP

#include <savorywheel/core/names.hpp>
#include <savorywheel/http/http_request.hpp>
#include <savorywheel/transport/peer_clock.hpp>

#include <chrono>
#include <cstdint>
#include <string>

namespace savorywheel {

/** @brief A caller's request on its way to the node beside a backend server. */
struct call_request {
    /** @brief Names the request in logs; empty if its caller gave no id. */
    std::string request_id;
    /** @brief Service that is called. */
    service_name service;
    /** @brief Version that was chosen; another one must not run it. */
    version_name version;
    /** @brief Time left until the deadline. */
    std::chrono::milliseconds remaining{};
    /** @brief Deadline on the receiving node's clock; the call must not start after it. */
    peer_time expires{};
    /** @brief Time left in which the answer is worth most to the caller; zero if not known. */
    std::chrono::milliseconds preferred{};
    /** @brief Rank when capacity is short; 0 is the highest. */
    std::uint32_t priority{};
    /** @brief True if it may be run more than once. */
    bool idempotent{};
    /** @brief The request. */
    http_request request;
};

} // namespace savorywheel

#endif
