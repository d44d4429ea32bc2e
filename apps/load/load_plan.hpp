#ifndef SAVORYWHEEL_APPS_LOAD_LOAD_PLAN_HPP
#define SAVORYWHEEL_APPS_LOAD_LOAD_PLAN_HPP

#include <savorywheel/core/network_endpoint.hpp>

#include <load/load_target.hpp>

#include <chrono>
#include <cstdint>
#include <vector>

namespace savorywheel::load {

/** @brief What load to generate. */
struct load_plan {
    /** @brief Requests in a second, direct ones included. */
    double per_second{100.0};
    /** @brief How long requests fall due. */
    std::chrono::milliseconds period{10'000};
    /** @brief Requests that can be in progress at one time. */
    std::uint32_t connections{32};
    /** @brief Longest wait for an answer. */
    std::chrono::milliseconds deadline{2000};
    /** @brief Nodes that take the callers' requests, in turn. */
    std::vector<network_endpoint> nodes;
    /** @brief Kinds of request. */
    std::vector<load_target> targets;
    /** @brief True if every second request goes to a backend server directly. */
    bool alternate_direct{};
    /** @brief Start of the random choices. */
    std::uint64_t seed{1};
};

} // namespace savorywheel::load

#endif
