#ifndef SAVORYWHEEL_TEST_SUPPORT_FAKE_TRAFFIC_HPP
#define SAVORYWHEEL_TEST_SUPPORT_FAKE_TRAFFIC_HPP

#include <savorywheel/rollout/route_evidence.hpp>

#include <support/trial_case.hpp>
#include <support/trial_result.hpp>

#include <random>
#include <vector>

namespace savorywheel::test {

/** @brief Random calls to one service with an old version v1 and a new version v2. */
class fake_traffic {
public:
    /**
     * @param kind Faults of the new version and properties of the traffic.
     * @param seed Seed of the random numbers.
     */
    fake_traffic(const trial_case& kind, std::uint64_t seed) : case_{kind}, engine_{seed} {}

    /**
     * @brief Simulates the calls of one second.
     * @param second Seconds after the start.
     * @param new_share Share of the new version, from 0 to 1.
     * @param result Receives the counts of calls and of failures caused by the fault.
     * @return Evidence as nodes report it.
     */
    [[nodiscard]] std::vector<route_evidence> run_second(int second, double new_share,
                                                         trial_result& result);

private:
    struct group;

    [[nodiscard]] route_evidence run_group(const group& item);
    [[nodiscard]] std::uint64_t hits(std::uint64_t calls, double rate);

    trial_case case_;
    std::mt19937_64 engine_;
    int new_seconds_{};
};

} // namespace savorywheel::test

#endif
