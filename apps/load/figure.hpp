#ifndef SAVORYWHEEL_APPS_LOAD_FIGURE_HPP
#define SAVORYWHEEL_APPS_LOAD_FIGURE_HPP

#include <optional>
#include <string>

namespace savorywheel::load {

/** @brief Measured value with its unit and budget. */
struct figure {
    /** @brief Name, such as "convergence_p99". */
    std::string name;
    /** @brief Empty if it was not measured. */
    std::optional<double> value;
    std::string unit;
    /** @brief Upper limit; empty if there is none. */
    std::optional<double> budget;
};

} // namespace savorywheel::load

#endif
