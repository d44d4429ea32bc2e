#ifndef SAVORYWHEEL_ROLLOUT_ROUTE_EVIDENCE_HPP
#define SAVORYWHEEL_ROLLOUT_ROUTE_EVIDENCE_HPP

#include <savorywheel/core/names.hpp>
#include <savorywheel/rollout/latency_histogram.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace savorywheel {

/** @brief What nodes saw of one version on one route in one period. */
struct route_evidence {
    /** @brief Service. */
    service_name service;
    /** @brief Version. */
    version_name version;
    /** @brief Path of the route. */
    std::string route;
    /** @brief True if the backend servers were in another region than the callers' nodes. */
    bool other_region{};
    /** @brief Calls that ended. */
    std::uint64_t calls{};
    /** @brief Calls that failed by the version's fault. */
    std::uint64_t failures{};
    /** @brief Nodes beside the backend servers at which calls failed; each once. */
    std::vector<node_id> failed_at;
    /** @brief Latencies of the answered calls. */
    latency_histogram latencies;
};

} // namespace savorywheel

#endif
