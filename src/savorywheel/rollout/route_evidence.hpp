#ifndef SAVORYWHEEL_ROLLOUT_ROUTE_EVIDENCE_HPP
#define SAVORYWHEEL_ROLLOUT_ROUTE_EVIDENCE_HPP

#include <savorywheel/core/names.hpp>
#include <savorywheel/rollout/latency_histogram.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace savorywheel {

/** @brief Results of calls to one version on one route in one period. */
struct route_evidence {
    service_name service;
    version_name version;
    /** @brief Path of the route. */
    std::string route;
    /** @brief True if the backend servers were in another region than the callers' nodes. */
    bool other_region{};
    /** @brief Completed calls. */
    std::uint64_t calls{};
    /** @brief Failed calls that are attributed to the version. */
    std::uint64_t failures{};
    /** @brief Distinct nodes of the backend servers at which calls failed. */
    std::vector<node_id> failed_at;
    /** @brief Latencies of the answered calls. */
    latency_histogram latencies;
};

} // namespace savorywheel

#endif
