#ifndef SAVORYWHEEL_TEST_SUPPORT_LOAD_FAULT_SCENARIO_HPP
#define SAVORYWHEEL_TEST_SUPPORT_LOAD_FAULT_SCENARIO_HPP

#include <cstdint>
#include <optional>

namespace savorywheel::test {

/** @brief Fault of a new version, and the traffic, in a load fault simulation. */
struct load_fault_scenario {
    /** @brief Mean calls to the service per second. */
    double calls_per_second{230.0};
    /** @brief Mean time that a call runs, in milliseconds. */
    double service_time_ms{220.0};
    /** @brief Failure rate of both versions without a fault, from 0 to 1. */
    double base_failure_rate{0.015};
    /** @brief Seconds after the order from which both versions fail more often; none if absent. */
    std::optional<double> overload_at{};
    /** @brief Failure rate of both versions from then on, without a fault. */
    double overload_failure_rate{};
    /** @brief Failure rate of the new version while its fault is active, from 0 to 1. */
    double fault_failure_rate{};
    /** @brief Seconds after the order from which the fault may be active. */
    double fault_at{};
    /** @brief Calls that a backend server must be running already for the fault to be active. */
    std::uint32_t fault_min_running{};
};

} // namespace savorywheel::test

#endif
