#ifndef SAVORYWHEEL_APPS_LOAD_LOAD_PLAN_HPP
#define SAVORYWHEEL_APPS_LOAD_LOAD_PLAN_HPP

#include <savorywheel/core/network_endpoint.hpp>

#include <load/load_target.hpp>

#include <chrono>
#include <cstdint>
#include <vector>

namespace savorywheel::load {

/** @brief Load to generate. */
struct load_plan {
    /** @brief Requests per second, direct ones included. */
    double per_second{100.0};
    /** @brief Duration of the load. */
    std::chrono::milliseconds period{10'000};
    /** @brief Maximum number of requests in flight. */
    std::uint32_t connections{32};
    /** @brief Request timeout. */
    std::chrono::milliseconds deadline{2000};
    /** @brief Nodes that receive the requests, round robin. */
    std::vector<network_endpoint> nodes;
    /** @brief Request types, selected by weight. */
    std::vector<load_target> targets;
    /** @brief Sends every second request directly to a backend server. */
    bool alternate_direct{};
    /** @brief Seed of the target selection. */
    std::uint64_t seed{1};
};

} // namespace savorywheel::load

#endif
