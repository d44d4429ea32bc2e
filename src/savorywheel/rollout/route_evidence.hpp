#ifndef SAVORYWHEEL_ROLLOUT_ROUTE_EVIDENCE_HPP
#define SAVORYWHEEL_ROLLOUT_ROUTE_EVIDENCE_HPP

#include <savorywheel/core/names.hpp>

#include <cstdint>
#include <string>

namespace savorywheel {

/** @brief What nodes saw of one version on one route in one period. */
struct route_evidence {
    /** @brief Service. */
    service_name service;
    /** @brief Version. */
    version_name version;
    /** @brief Path of the route. */
    std::string route;
    /** @brief Calls that ended. */
    std::uint64_t calls{};
    /** @brief Calls that failed by the version's fault. */
    std::uint64_t failures{};
    /** @brief Sum of the latencies of answered calls, in milliseconds. */
    double latency_sum_ms{};
    /** @brief Sum of the squares of those latencies, in square milliseconds. */
    double latency_square_sum_ms2{};
};

} // namespace savorywheel

#endif
