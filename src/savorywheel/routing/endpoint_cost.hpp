#ifndef SAVORYWHEEL_ROUTING_ENDPOINT_COST_HPP
#define SAVORYWHEEL_ROUTING_ENDPOINT_COST_HPP

#include <savorywheel/core/clock.hpp>

#include <cstddef>
#include <cstdint>

namespace savorywheel {

/** @brief Network distance between an endpoint and the caller's node. */
enum class endpoint_distance : std::uint8_t { same_domain, same_region, other_region };

/**
 * @brief Estimated cost of sending a call to an endpoint, in units of time.
 *
 * Balances load over backend servers of different speed and utilization: a call leaves the failure
 * domain or region only if the time saved exceeds the round trip and the price of the traffic. A
 * response that is probably late has a price, too, so that a call that a near endpoint would serve
 * late goes to a far one that serves it in time.
 */
struct endpoint_cost {
    endpoint_distance distance{endpoint_distance::same_domain};
    /** @brief Number of requests that the backend server runs concurrently. */
    std::uint32_t slots{};
    /** @brief Estimated number of calls running or queued at the endpoint. */
    double calls{};
    /** @brief Expected service time of the call at the endpoint. */
    duration service_time{};
    /** @brief Size of the request body and of the expected response body, in bytes. */
    std::size_t bytes{};
    /** @brief True if the backend server is still warming up. */
    bool warming{};
    /** @brief Time until the route's target latency is exceeded; zero if the route has none. */
    duration target_remaining{};
    /** @brief True if the service time is that of the call's kind, and the work is known. */
    bool by_work{};
    /** @brief Estimated time that the calls at the endpoint still need. */
    duration work{};
    /** @brief Deviation of latencies relative to their mean. */
    double spread{0.5};

    /** @return Estimated time until the response, plus the prices of traffic and lateness. */
    [[nodiscard]] duration total() const noexcept;

    /** @return Estimated time until the response. */
    [[nodiscard]] duration latency() const noexcept;

    /** @return Expected time until a slot is free. */
    [[nodiscard]] duration expected_queue_wait() const noexcept;

    /** @return Price of a late response, weighted with the probability that it will be late. */
    [[nodiscard]] duration lateness_price() const noexcept;
};

} // namespace savorywheel

#endif
