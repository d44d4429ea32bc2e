#ifndef SAVORYWHEEL_TEST_SUPPORT_PLACEMENT_RESULT_HPP
#define SAVORYWHEEL_TEST_SUPPORT_PLACEMENT_RESULT_HPP

namespace savorywheel::test {

/** @brief Latencies of the calls of a placement_scenario under one rule. */
struct placement_result {
    double mean_ms{};
    double p99_ms{};
    /** @brief Share of the calls within the target latency of their route. */
    double in_time{};
};

} // namespace savorywheel::test

#endif
