#ifndef SAVORYWHEEL_TEST_SUPPORT_ROLLOUT_SCENARIO_HPP
#define SAVORYWHEEL_TEST_SUPPORT_ROLLOUT_SCENARIO_HPP

#include <string>

namespace savorywheel::test {

/** @brief Faults of a new version and properties of the traffic in a rollout simulation. */
struct rollout_scenario {
    /** @brief Name in the printed table. */
    std::string name;
    /** @brief Number of simulations, each with its own seed. */
    int trials{12};
    /** @brief Mean calls to the service per second. */
    double calls_per_second{100.0};
    /** @brief Failure rate of both versions without a fault, from 0 to 1. */
    double base_failure_rate{0.001};
    /** @brief Additional failure rate of the new version while its fault is active, from 0 to 1. */
    double fault_failure_rate{};
    /** @brief Factor on the latency of the new version while its fault is active. */
    double fault_latency_factor{1.0};
    /** @brief Seconds after the start from which the fault is active. */
    int fault_start_second{};
    /** @brief Traffic share of the new version, from 0 to 1, from which the fault is active. */
    double fault_min_share{};
    /** @brief True if the fault affects only the least used route. */
    bool single_route{};
    /** @brief Seconds of an outage during which both versions fail half of their calls. */
    int outage_seconds{};
    /** @brief Seconds between stalls of one backend server for one second; zero for none. */
    int stall_interval_seconds{};

    /** @return True if the new version has no fault. */
    [[nodiscard]] bool good() const noexcept
    {
        return fault_failure_rate == 0.0 && fault_latency_factor == 1.0;
    }
};

} // namespace savorywheel::test

#endif
