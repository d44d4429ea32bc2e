#include <load/mesh_snapshot.hpp>

#include <algorithm>

namespace savorywheel::load {

namespace {

double rate(const metric_snapshot& before, const metric_snapshot& after, std::string_view name)
{
    const auto seconds = std::chrono::duration<double>(after.at - before.at).count();
    return seconds > 0.0 ? (after.value(name) - before.value(name)) / seconds : 0.0;
}

} // namespace

mesh_snapshot take_mesh_snapshot(bench_mesh& mesh)
{
    mesh_snapshot snapshot;
    for (std::size_t i = 0; i < mesh.members().size(); ++i) {
        snapshot.nodes.push_back(mesh.node_metrics(i));
    }
    snapshot.platform = mesh.platform_metrics();
    return snapshot;
}

double mean_rate(const mesh_snapshot& before, const mesh_snapshot& after, std::string_view name)
{
    double sum{};
    for (std::size_t i = 0; i < before.nodes.size(); ++i) {
        sum += rate(before.nodes[i], after.nodes[i], name);
    }
    return sum / static_cast<double>(before.nodes.size());
}

double max_rate(const mesh_snapshot& before, const mesh_snapshot& after, std::string_view name)
{
    double highest{};
    for (std::size_t i = 0; i < before.nodes.size(); ++i) {
        highest = std::max(highest, rate(before.nodes[i], after.nodes[i], name));
    }
    return highest;
}

double platform_rate(const mesh_snapshot& before, const mesh_snapshot& after, std::string_view name)
{
    return rate(before.platform, after.platform, name);
}

double mean_growth(const mesh_snapshot& before, const mesh_snapshot& after, std::string_view name)
{
    double sum{};
    for (std::size_t i = 0; i < before.nodes.size(); ++i) {
        sum += after.nodes[i].value(name) - before.nodes[i].value(name);
    }
    return sum / static_cast<double>(before.nodes.size());
}

double max_node_value(const mesh_snapshot& snapshot, std::string_view name)
{
    double highest{};
    for (const auto& node : snapshot.nodes) {
        highest = std::max(highest, node.value(name));
    }
    return highest;
}

} // namespace savorywheel::load
