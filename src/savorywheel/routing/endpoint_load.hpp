#ifndef SAVORYWHEEL_ROUTING_ENDPOINT_LOAD_HPP
#define SAVORYWHEEL_ROUTING_ENDPOINT_LOAD_HPP

#include <savorywheel/core/clock.hpp>

#include <cstdint>

namespace savorywheel {

/** @brief Estimated load of an endpoint at a moment. */
struct endpoint_load {
    /** @brief Calls of this node in flight at the endpoint. */
    std::uint32_t in_flight{};
    /** @brief Estimated number of calls of all nodes at the endpoint. */
    double calls{};
    /** @brief Mean service time of a call, as reported; zero if not reported yet. */
    duration service_time{};
    /** @brief Estimated time that the calls at the endpoint still need. */
    duration work{};
    /** @brief Service time relative to that of a backend server of average speed. */
    double slowness{1.0};
    /** @brief True if the gate of the endpoint reports its remaining work. */
    bool reports_work{};
};

} // namespace savorywheel

#endif
