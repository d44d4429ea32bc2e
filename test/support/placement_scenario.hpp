#ifndef SAVORYWHEEL_TEST_SUPPORT_PLACEMENT_SCENARIO_HPP
#define SAVORYWHEEL_TEST_SUPPORT_PLACEMENT_SCENARIO_HPP

#include <cstdint>
#include <string>
#include <vector>

namespace savorywheel::test {

/** @brief Calls of one route to a service. */
struct placement_traffic {
    std::string route;
    double per_second{};
    double mean_ms{};
    double target_ms{};
};

/** @brief A service with the traffic of many proxies, of which each learns on its own. */
struct placement_scenario {
    std::string name;
    int servers{};
    std::uint32_t slots{};
    /** @brief Speeds of the backend servers, in turn. */
    std::vector<double> speeds;
    std::vector<placement_traffic> traffic;
    int proxies{};
    /** @brief Standard deviation of the work of a call relative to its mean. */
    double spread{0.65};
    double seconds{40.0};
    /** @brief Calls before are not measured, since nothing is learned yet. */
    double measured_from{10.0};
};

} // namespace savorywheel::test

#endif
