#ifndef SAVORYWHEEL_CONFIG_HOST_ROUTE_HPP
#define SAVORYWHEEL_CONFIG_HOST_ROUTE_HPP

#include <savorywheel/config/route_kind.hpp>
#include <savorywheel/config/service_share.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace savorywheel {

/** @brief Where the requests of one host and path prefix go, and how they are treated. */
struct host_route {
    /** @brief Path prefix, which starts with a slash; the longest match decides. */
    std::string path;
    /** @brief What may be done with the requests. */
    route_kind kind{route_kind::non_idempotent};
    /** @brief Time in which a request is answered, unless its caller asks for less. */
    std::chrono::milliseconds timeout{};
    /** @brief Time in which an answer is worth most to the caller; zero if not given. */
    std::chrono::milliseconds target_latency{};
    /** @brief Rank when capacity is short; 0 is the highest. */
    std::uint32_t priority{};
    /** @brief Backend servers that one request may be sent to; zero for no limit. */
    std::uint32_t max_attempts{};
    /** @brief Services that run the requests, at least one. */
    std::vector<service_share> shares;

    /** @brief Compares all members. */
    [[nodiscard]] friend bool operator==(const host_route&, const host_route&) = default;
};

} // namespace savorywheel

#endif
