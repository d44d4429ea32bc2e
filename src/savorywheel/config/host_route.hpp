#ifndef SAVORYWHEEL_CONFIG_HOST_ROUTE_HPP
#define SAVORYWHEEL_CONFIG_HOST_ROUTE_HPP

#include <savorywheel/config/route_kind.hpp>
#include <savorywheel/config/service_share.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace savorywheel {

/** @brief Route of a virtual host: destination services and policy for one path prefix. */
struct host_route {
    /** @brief Path prefix, starting with a slash; the longest match wins. */
    std::string path;
    /** @brief Whether requests may be retried. */
    route_kind kind{route_kind::non_idempotent};
    /** @brief Request timeout; a caller may ask for a shorter one. */
    std::chrono::milliseconds timeout{};
    /** @brief Latency within which a response is of full value to the caller; zero if not set. */
    std::chrono::milliseconds target_latency{};
    /** @brief Priority under overload; 0 is the highest. */
    std::uint32_t priority{};
    /** @brief Maximum number of backend servers tried per request; zero for no limit. */
    std::uint32_t max_attempts{};
    /** @brief True if requests need no API key. */
    bool is_public{};
    /** @brief Destination services, at least one. */
    std::vector<service_share> shares;

    [[nodiscard]] friend bool operator==(const host_route&, const host_route&) = default;
};

} // namespace savorywheel

#endif
