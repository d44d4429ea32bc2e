#ifndef SAVORYWHEEL_TEST_SUPPORT_TRIAL_CASE_HPP
#define SAVORYWHEEL_TEST_SUPPORT_TRIAL_CASE_HPP

#include <string>

namespace savorywheel::test {

/** @brief One kind of new version and traffic that rollout trials use. */
struct trial_case {
    /** @brief Name in the table. */
    std::string name;
    /** @brief Trials, each with its own seed. */
    int trials{12};
    /** @brief Calls of the service per second. */
    double calls_per_second{100.0};
    /** @brief Share of calls that the old version fails. */
    double old_failure_rate{0.001};
    /** @brief Share of calls that the new version fails once its fault shows. */
    double fault_failure_rate{};
    /** @brief Factor on the new version's latency once its fault shows. */
    double fault_slowness{1.0};
    /** @brief Seconds after the start when the fault shows. */
    int fault_from{};
    /** @brief Share of the new version from which the fault shows. */
    double fault_from_share{};
    /** @brief True if the fault shows on the least used route only. */
    bool one_route{};
    /** @brief Seconds of an outage that makes both versions fail half of their calls. */
    int shared_outage{};
    /** @brief Seconds between two stalls, each of one server for a second; zero for none. */
    int stall_every{};

    /** @return True if the new version has no fault. */
    [[nodiscard]] bool good() const noexcept
    {
        return fault_failure_rate == 0.0 && fault_slowness == 1.0;
    }
};

} // namespace savorywheel::test

#endif
