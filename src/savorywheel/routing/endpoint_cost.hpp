#ifndef SAVORYWHEEL_ROUTING_ENDPOINT_COST_HPP
#define SAVORYWHEEL_ROUTING_ENDPOINT_COST_HPP

#include <savorywheel/core/clock.hpp>

#include <cstddef>
#include <cstdint>

namespace savorywheel {

/** @brief How far an endpoint is from the caller's node. */
enum class endpoint_distance : std::uint8_t { same_domain, same_region, other_region };

/**
 * @brief What speaks against an endpoint, as a time.
 *
 * Answers the load of backend servers of unequal speed, of which some are full: a call goes farther
 * only if the nearer ones would take longer than the way and its price.
 */
struct endpoint_cost {
    /** @brief Distance from the caller's node. */
    endpoint_distance distance{endpoint_distance::same_domain};
    /** @brief Requests that the backend server runs at one time. */
    std::uint32_t slots{};
    /** @brief Calls that are probably there. */
    double calls{};
    /** @brief Mean time of a call there. */
    duration service_time{};
    /** @brief Bytes that the call carries. */
    std::size_t bytes{};
    /** @brief True if the backend server has just started and is slow. */
    bool warming{};

    /** @return The cost. */
    [[nodiscard]] duration total() const noexcept;

    /** @return Expected wait for a slot. */
    [[nodiscard]] duration expected_queue_wait() const noexcept;
};

} // namespace savorywheel

#endif
