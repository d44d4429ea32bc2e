#ifndef SAVORYWHEEL_TEST_SUPPORT_ROLLOUT_SCENARIO_HPP
#define SAVORYWHEEL_TEST_SUPPORT_ROLLOUT_SCENARIO_HPP

#include <string>

namespace savorywheel::test {

/** @brief One kind of new version and traffic that rollout trials use. */
struct rollout_scenario {
    /** @brief Name in the table. */
    std::string name;
    /** @brief Trials, each with its own seed. */
    int trials{12};
    /** @brief Calls of the service per second. */
    double calls_per_second{100.0};
    /** @brief Share of calls that the old version fails. */
    double base_failure_rate{0.001};
    /** @brief Share of calls that the new version fails once its fault shows. */
    double fault_failure_rate{};
    /** @brief Factor on the new version's latency once its fault shows. */
    double fault_latency_factor{1.0};
    /** @brief Seconds after the start when the fault shows. */
    int fault_start_second{};
    /** @brief Share of the new version from which the fault shows. */
    double fault_min_share{};
    /** @brief True if the fault shows on the least used route only. */
    bool single_route{};
    /** @brief Seconds of an outage that makes both versions fail half of their calls. */
    int outage_seconds{};
    /** @brief Seconds between two stalls, each of one server for a second; zero for none. */
    int stall_interval_seconds{};

    /** @return True if the new version has no fault. */
    [[nodiscard]] bool good() const noexcept
    {
        return fault_failure_rate == 0.0 && fault_latency_factor == 1.0;
    }
};

} // namespace savorywheel::test

#endif
