#ifndef SAVORYWHEEL_TEST_SUPPORT_TRIAL_CASE_HPP
#define SAVORYWHEEL_TEST_SUPPORT_TRIAL_CASE_HPP

#include <string>

namespace savorywheel::test {

/** @brief Faults of a new version and properties of the traffic in a rollout simulation. */
struct trial_case {
    /** @brief Name in the printed table. */
    std::string name;
    /** @brief Number of simulations, each with its own seed. */
    int trials{12};
    /** @brief Mean calls to the service per second. */
    double calls_per_second{100.0};
    /** @brief Failure rate of both versions without a fault, from 0 to 1. */
    double old_failure_rate{0.001};
    /** @brief Additional failure rate of the new version while its fault is active, from 0 to 1. */
    double fault_failure_rate{};
    /** @brief Factor on the latency of the new version while its fault is active. */
    double fault_slowness{1.0};
    /** @brief Seconds after the start from which the fault is active. */
    int fault_from{};
    /** @brief Traffic share of the new version, from 0 to 1, from which the fault is active. */
    double fault_from_share{};
    /** @brief True if the fault affects only the least used route. */
    bool one_route{};
    /** @brief Seconds of an outage during which both versions fail half of their calls. */
    int shared_outage{};
    /** @brief Seconds between stalls of one backend server for one second; zero for none. */
    int stall_every{};

    /** @return True if the new version has no fault. */
    [[nodiscard]] bool good() const noexcept
    {
        return fault_failure_rate == 0.0 && fault_slowness == 1.0;
    }
};

} // namespace savorywheel::test

#endif
