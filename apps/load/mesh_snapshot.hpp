#ifndef SAVORYWHEEL_APPS_LOAD_MESH_SNAPSHOT_HPP
#define SAVORYWHEEL_APPS_LOAD_MESH_SNAPSHOT_HPP

#include <load/bench_mesh.hpp>
#include <load/metric_snapshot.hpp>

#include <string_view>
#include <vector>

namespace savorywheel::load {

/** @brief Metrics of all processes of a mesh, read one after another. */
struct mesh_snapshot {
    /** @brief Metrics of the nodes, ordered by node index. */
    std::vector<metric_snapshot> nodes;
    /** @brief Metrics of the platform stand-in. */
    metric_snapshot platform;
};

/** @brief Reads the current metrics of all processes. */
[[nodiscard]] mesh_snapshot take_mesh_snapshot(bench_mesh& mesh);

/** @return Increase of a metric per second, averaged over the nodes. */
[[nodiscard]] double mean_rate(const mesh_snapshot& before, const mesh_snapshot& after,
                               std::string_view name);

/** @return Highest increase of a metric per second among the nodes. */
[[nodiscard]] double max_rate(const mesh_snapshot& before, const mesh_snapshot& after,
                              std::string_view name);

/** @return Increase of a metric of the platform stand-in per second. */
[[nodiscard]] double platform_rate(const mesh_snapshot& before, const mesh_snapshot& after,
                                   std::string_view name);

/** @return Increase of a metric between the snapshots, averaged over the nodes. */
[[nodiscard]] double mean_growth(const mesh_snapshot& before, const mesh_snapshot& after,
                                 std::string_view name);

/** @return Highest value of a metric among the nodes. */
[[nodiscard]] double max_node_value(const mesh_snapshot& snapshot, std::string_view name);

} // namespace savorywheel::load

#endif
