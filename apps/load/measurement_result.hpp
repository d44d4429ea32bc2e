#ifndef SAVORYWHEEL_APPS_LOAD_MEASUREMENT_RESULT_HPP
#define SAVORYWHEEL_APPS_LOAD_MEASUREMENT_RESULT_HPP

#include <load/figure_list.hpp>
#include <load/svg_series.hpp>

#include <string>
#include <vector>

namespace savorywheel::load {

/** @brief What a measurement found. */
struct measurement_result {
    /** @brief Deployment. */
    std::string deployment;
    /** @brief Number of nodes. */
    std::size_t nodes{};
    /** @brief Figures, in the order of reports. */
    figure_list figures;
    /** @brief Convergence times, for a plot. */
    std::vector<svg_series> convergence;
    /** @brief Latencies, for a plot. */
    std::vector<svg_series> latency;
    /** @brief Bytes by purpose, for a plot. */
    std::vector<svg_series> bytes;
    /** @brief What went wrong; empty if all was measured. */
    std::vector<std::string> faults;
};

} // namespace savorywheel::load

#endif
