#include <fmt/format.h>
#include <load/svg_plot.hpp>

#include <algorithm>
#include <array>

namespace savorywheel::load {

namespace {

constexpr double width = 640;
constexpr double height = 300;
constexpr double left = 60;
constexpr double top = 40;
constexpr double bottom = 250;
constexpr double right = 620;
constexpr double bar_height = 22;
constexpr double bar_left = 200;
constexpr std::array<std::string_view, 6> colours{"#1b6ca8", "#c0392b", "#27803b",
                                                  "#8e5ea2", "#b7791f", "#555555"};

double max_value_of(std::span<const svg_series> series)
{
    double max_value = 0.0;
    for (const auto& item : series) {
        for (const auto value : item.values) {
            max_value = std::max(max_value, value);
        }
    }
    return max_value > 0.0 ? max_value : 1.0;
}

std::string svg_header(std::string_view title, double total_height)
{
    return fmt::format("<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{0}\" height=\"{1}\" "
                       "viewBox=\"0 0 {0} {1}\" font-family=\"sans-serif\" font-size=\"12\">\n"
                       "<text x=\"10\" y=\"20\" font-size=\"14\">{2}</text>\n",
                       width, total_height, title);
}

std::string draw_line(const svg_series& item, double max_value, std::string_view colour)
{
    std::string points;
    const auto count = static_cast<double>(item.values.size());
    for (std::size_t i = 0; i < item.values.size(); ++i) {
        const auto x = left + (right - left) * item.values[i] / max_value;
        const auto y = bottom - (bottom - top) * static_cast<double>(i + 1) / count;
        points += fmt::format("{:.1f},{:.1f} ", x, y);
    }
    return fmt::format("<polyline fill=\"none\" stroke=\"{}\" stroke-width=\"2\" "
                       "points=\"{}\"/>\n",
                       colour, points);
}

std::string draw_axes(std::string_view unit, double max_value)
{
    return fmt::format("<path d=\"M{0} {1} V{2} H{3}\" fill=\"none\" stroke=\"#333\"/>\n"
                       "<text x=\"{0}\" y=\"{4}\">0</text>\n"
                       "<text x=\"{3}\" y=\"{4}\" text-anchor=\"end\">{5:.3g} {6}</text>\n"
                       "<text x=\"{7}\" y=\"{1}\">100 %</text>\n",
                       left, top, bottom, right, bottom + 16, max_value, unit, 5);
}

} // namespace

std::string draw_distributions(std::string_view title, std::string_view unit,
                               std::span<const svg_series> series)
{
    constexpr double legend_step = 150;
    const auto max_value = max_value_of(series);
    auto text = svg_header(title, height) + draw_axes(unit, max_value);
    for (std::size_t i = 0; i < series.size(); ++i) {
        const auto colour = colours.at(i % colours.size());
        text += draw_line(series[i], max_value, colour);
        text += fmt::format("<text x=\"{}\" y=\"{}\" fill=\"{}\">{}</text>\n",
                            left + legend_step * static_cast<double>(i), height - 10, colour,
                            series[i].name);
    }
    return text + "</svg>\n";
}

std::string draw_bars(std::string_view title, std::string_view unit,
                      std::span<const svg_series> series)
{
    constexpr double label_space = 110;
    const auto max_value = max_value_of(series);
    auto text = svg_header(title, top + bar_height * static_cast<double>(series.size()) + 10);
    auto y = top;
    for (const auto& item : series) {
        const auto value = item.values.empty() ? 0.0 : item.values.front();
        const auto length = (right - bar_left - label_space) * value / max_value;
        text += fmt::format("<text x=\"10\" y=\"{0:.1f}\">{1}</text>\n"
                            "<rect x=\"{2}\" y=\"{3:.1f}\" width=\"{4:.1f}\" height=\"{5}\" "
                            "fill=\"{6}\"/>\n"
                            "<text x=\"{7:.1f}\" y=\"{0:.1f}\">{8:.4g} {9}</text>\n",
                            y + bar_height - 8, item.name, bar_left, y, length, bar_height - 4,
                            colours.front(), bar_left + length + 6, value, unit);
        y += bar_height;
    }
    return text + "</svg>\n";
}

} // namespace savorywheel::load
