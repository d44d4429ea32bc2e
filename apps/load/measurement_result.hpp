#ifndef SAVORYWHEEL_APPS_LOAD_MEASUREMENT_RESULT_HPP
#define SAVORYWHEEL_APPS_LOAD_MEASUREMENT_RESULT_HPP

#include <load/figure_list.hpp>
#include <load/svg_series.hpp>

#include <string>
#include <vector>

namespace savorywheel::load {

/** @brief Results of a benchmark run. */
struct measurement_result {
    /** @brief Name of the deployment. */
    std::string deployment;
    /** @brief Number of nodes. */
    std::size_t nodes{};
    /** @brief Figures in report order. */
    figure_list figures;
    /** @brief Convergence times for a plot, in milliseconds. */
    std::vector<svg_series> convergence;
    /** @brief Request latencies for a plot, in milliseconds. */
    std::vector<svg_series> latency;
    /** @brief Control bytes per second by traffic class, for a plot. */
    std::vector<svg_series> bytes;
    /** @brief Measurements that failed, with the reason; empty if all succeeded. */
    std::vector<std::string> faults;
};

} // namespace savorywheel::load

#endif
