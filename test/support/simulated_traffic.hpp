#ifndef SAVORYWHEEL_TEST_SUPPORT_SIMULATED_TRAFFIC_HPP
#define SAVORYWHEEL_TEST_SUPPORT_SIMULATED_TRAFFIC_HPP

#include <savorywheel/rollout/route_evidence.hpp>

#include <support/rollout_scenario.hpp>
#include <support/rollout_simulation_result.hpp>

#include <random>
#include <vector>

namespace savorywheel::test {

/** @brief Random calls to one service with an old version v1 and a new version v2. */
class simulated_traffic {
public:
    /**
     * @param scenario Faults of the new version and properties of the traffic.
     * @param seed Seed of the random numbers.
     */
    simulated_traffic(const rollout_scenario& scenario, std::uint64_t seed)
        : scenario_{scenario}, engine_{seed}
    {
    }

    /**
     * @brief Simulates the calls of one second.
     * @param second Seconds after the start.
     * @param new_share Share of the new version, from 0 to 1.
     * @param result Receives the counts of calls and of failures caused by the fault.
     * @return Evidence as nodes report it.
     */
    [[nodiscard]] std::vector<route_evidence> run_second(int second, double new_share,
                                                         rollout_simulation_result& result);

private:
    struct call_group;

    [[nodiscard]] route_evidence run_group(const call_group& item);
    [[nodiscard]] std::uint64_t draw_binomial(std::uint64_t calls, double rate);

    rollout_scenario scenario_;
    std::mt19937_64 engine_;
    int new_version_seconds_{};
};

} // namespace savorywheel::test

#endif
