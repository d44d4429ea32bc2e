#include <load/mesh_reading.hpp>

#include <algorithm>

namespace savorywheel::load {

namespace {

double rate(const metric_reading& before, const metric_reading& after, std::string_view name)
{
    const auto seconds = std::chrono::duration<double>(after.at - before.at).count();
    return seconds > 0.0 ? (after.value(name) - before.value(name)) / seconds : 0.0;
}

} // namespace

mesh_reading read_mesh(bench_mesh& mesh)
{
    mesh_reading reading;
    for (std::size_t i = 0; i < mesh.members().size(); ++i) {
        reading.nodes.push_back(mesh.node_metrics(i));
    }
    reading.platform = mesh.platform_metrics();
    return reading;
}

double node_rate(const mesh_reading& before, const mesh_reading& after, std::string_view name)
{
    double sum{};
    for (std::size_t i = 0; i < before.nodes.size(); ++i) {
        sum += rate(before.nodes[i], after.nodes[i], name);
    }
    return sum / static_cast<double>(before.nodes.size());
}

double greatest_node_rate(const mesh_reading& before, const mesh_reading& after,
                          std::string_view name)
{
    double greatest{};
    for (std::size_t i = 0; i < before.nodes.size(); ++i) {
        greatest = std::max(greatest, rate(before.nodes[i], after.nodes[i], name));
    }
    return greatest;
}

double platform_rate(const mesh_reading& before, const mesh_reading& after, std::string_view name)
{
    return rate(before.platform, after.platform, name);
}

double node_growth(const mesh_reading& before, const mesh_reading& after, std::string_view name)
{
    double sum{};
    for (std::size_t i = 0; i < before.nodes.size(); ++i) {
        sum += after.nodes[i].value(name) - before.nodes[i].value(name);
    }
    return sum / static_cast<double>(before.nodes.size());
}

double greatest_node_value(const mesh_reading& reading, std::string_view name)
{
    double greatest{};
    for (const auto& node : reading.nodes) {
        greatest = std::max(greatest, node.value(name));
    }
    return greatest;
}

} // namespace savorywheel::load
