#ifndef SAVORYWHEEL_APPS_LOAD_SVG_SERIES_HPP
#define SAVORYWHEEL_APPS_LOAD_SVG_SERIES_HPP

#include <string>
#include <vector>

namespace savorywheel::load {

/** @brief Samples that a plot shows as one line. */
struct svg_series {
    /** @brief Name. */
    std::string name;
    /** @brief Samples in ascending order. */
    std::vector<double> values;
};

} // namespace savorywheel::load

#endif
