#ifndef SAVORYWHEEL_APPS_LOAD_SVG_PLOT_HPP
#define SAVORYWHEEL_APPS_LOAD_SVG_PLOT_HPP

#include <load/svg_series.hpp>

#include <span>
#include <string>
#include <string_view>

namespace savorywheel::load {

/**
 * @brief Draws cumulative distribution functions.
 * @param title Title of the plot.
 * @param unit Unit of the values.
 * @param series One line each.
 * @return SVG element.
 */
[[nodiscard]] std::string draw_distributions(std::string_view title, std::string_view unit,
                                             std::span<const svg_series> series);

/**
 * @brief Draws a horizontal bar chart.
 * @param title Title of the plot.
 * @param unit Unit of the values.
 * @param series One bar each, with the first value of the series.
 * @return SVG element.
 */
[[nodiscard]] std::string draw_bars(std::string_view title, std::string_view unit,
                                    std::span<const svg_series> series);

} // namespace savorywheel::load

#endif
