#ifndef SAVORYWHEEL_TRAFFIC_GATE_COUNTS_HPP
#define SAVORYWHEEL_TRAFFIC_GATE_COUNTS_HPP

#include <savorywheel/traffic/call_class.hpp>

#include <array>
#include <cstddef>
#include <cstdint>

namespace savorywheel {

/** @brief Number of priorities that metrics tell apart; the last one includes all lower ones. */
inline constexpr std::size_t counted_priorities = 4;

/** @brief Queue of a gate, and calls since its start, for metrics. */
struct gate_counts {
    /** @brief Queued calls by priority of the tenant. */
    std::array<std::uint64_t, counted_priorities> waiting_by_tenant_priority{};
    /** @brief Queued calls by priority of the route. */
    std::array<std::uint64_t, counted_priorities> waiting_by_priority{};
    /** @brief Calls admitted since the start, by class. */
    std::array<std::uint64_t, call_class_count> admitted{};
    /** @brief Queued calls refused since the start for a call of higher rank. */
    std::uint64_t displaced{};
    /** @brief Queued calls refused since the start because they could not finish in time. */
    std::uint64_t hopeless{};
    /** @brief Slots that calls which were given up probably still occupy. */
    std::uint32_t abandoned{};
    /** @brief Expected work of running and queued calls, in microseconds. */
    std::uint64_t work_us{};
};

} // namespace savorywheel

#endif
