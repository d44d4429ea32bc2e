#ifndef SAVORYWHEEL_APPS_LOAD_SVG_PLOT_HPP
#define SAVORYWHEEL_APPS_LOAD_SVG_PLOT_HPP

#include <load/svg_series.hpp>

#include <span>
#include <string>
#include <string_view>

namespace savorywheel::load {

/**
 * @brief Draws cumulative distributions: the share of samples up to each value.
 * @param title Title.
 * @param unit Unit of the values.
 * @param series Lines.
 * @return An SVG element.
 */
[[nodiscard]] std::string draw_distributions(std::string_view title, std::string_view unit,
                                             std::span<const svg_series> series);

/**
 * @brief Draws a horizontal bar per value.
 * @param title Title.
 * @param unit Unit of the values.
 * @param series Bars; each has the first value of its series.
 * @return An SVG element.
 */
[[nodiscard]] std::string draw_bars(std::string_view title, std::string_view unit,
                                    std::span<const svg_series> series);

} // namespace savorywheel::load

#endif
