#include <fmt/format.h>
#include <load/result_writer.hpp>
#include <load/svg_plot.hpp>

#include <span>

namespace savorywheel::load {

namespace {

std::string series_json(std::span<const svg_series> series)
{
    std::string text = "{";
    for (const auto& item : series) {
        text += fmt::format("{}\"{}\":[", text.size() > 1 ? "," : "", item.name);
        for (std::size_t i = 0; i < item.values.size(); ++i) {
            text += fmt::format("{}{:.6g}", i > 0 ? "," : "", item.values[i]);
        }
        text += "]";
    }
    return text + "}";
}

std::string faults_json(std::span<const std::string> faults)
{
    std::string text = "[";
    for (const auto& item : faults) {
        text += fmt::format("{}\"{}\"", text.size() > 1 ? "," : "", item);
    }
    return text + "]";
}

} // namespace

std::string write_json(const measurement_result& result)
{
    return fmt::format("{{\"deployment\":\"{}\",\n\"nodes\":{},\n\"faults\":{},\n\"figures\":{},\n"
                       "\"convergence_ms\":{}}}\n",
                       result.deployment, result.nodes, faults_json(result.faults),
                       result.figures.json(), series_json(result.convergence));
}

std::string write_html(const measurement_result& result)
{
    std::string faults;
    for (const auto& item : result.faults) {
        faults += fmt::format("<p><b>Not measured: {}</b></p>\n", item);
    }
    return fmt::format(
        "<!DOCTYPE html>\n<html lang=\"en\"><meta charset=\"utf-8\">"
        "<title>savorywheel: {0}, {1} nodes</title>\n"
        "<body style=\"font-family:sans-serif\">\n"
        "<h1>{0}, {1} nodes</h1>\n{2}{3}{4}{5}<pre>{6}</pre></body></html>\n",
        result.deployment, result.nodes, faults,
        draw_distributions("Time from sending a change until it was in force at all nodes", "ms",
                           result.convergence),
        draw_distributions("Request latency", "ms", result.latency),
        draw_bars("Control bytes sent per node", "B/s", result.bytes), result.figures.table());
}

} // namespace savorywheel::load
