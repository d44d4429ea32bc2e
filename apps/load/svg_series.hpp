#ifndef SAVORYWHEEL_APPS_LOAD_SVG_SERIES_HPP
#define SAVORYWHEEL_APPS_LOAD_SVG_SERIES_HPP

#include <string>
#include <vector>

namespace savorywheel::load {

/** @brief Named data series of a plot. */
struct svg_series {
    std::string name;
    /** @brief Samples; in ascending order for distributions. */
    std::vector<double> values;
};

} // namespace savorywheel::load

#endif
