#ifndef SAVORYWHEEL_APPS_LOAD_FIGURE_HPP
#define SAVORYWHEEL_APPS_LOAD_FIGURE_HPP

#include <optional>
#include <string>

namespace savorywheel::load {

/** @brief One measured value; without a value it was not measured. */
struct figure {
    /** @brief Name, such as "convergence_p99". */
    std::string name;
    /** @brief Value. */
    std::optional<double> value;
    /** @brief Unit. */
    std::string unit;
    /** @brief Greatest value that the budget allows, if there is one. */
    std::optional<double> budget;
};

} // namespace savorywheel::load

#endif
