#ifndef SAVORYWHEEL_APPS_LOAD_MESH_SNAPSHOT_HPP
#define SAVORYWHEEL_APPS_LOAD_MESH_SNAPSHOT_HPP

#include <load/bench_mesh.hpp>
#include <load/metric_snapshot.hpp>

#include <string_view>
#include <vector>

namespace savorywheel::load {

/** @brief Metrics of all processes of a mesh at about one time. */
struct mesh_snapshot {
    /** @brief Nodes, in their order. */
    std::vector<metric_snapshot> nodes;
    /** @brief The platform stand-in. */
    metric_snapshot platform;
};

/** @return The current metrics. */
[[nodiscard]] mesh_snapshot take_mesh_snapshot(bench_mesh& mesh);

/** @return Mean growth of a value of the nodes in a second, per node. */
[[nodiscard]] double mean_rate(const mesh_snapshot& before, const mesh_snapshot& after,
                               std::string_view name);

/** @return Greatest growth of a value in a second among the nodes. */
[[nodiscard]] double max_rate(const mesh_snapshot& before, const mesh_snapshot& after,
                              std::string_view name);

/** @return Growth of a value of the platform stand-in in a second. */
[[nodiscard]] double platform_rate(const mesh_snapshot& before, const mesh_snapshot& after,
                                   std::string_view name);

/** @return Mean growth of a value per node. */
[[nodiscard]] double mean_growth(const mesh_snapshot& before, const mesh_snapshot& after,
                                 std::string_view name);

/** @return Greatest value among the nodes. */
[[nodiscard]] double max_node_value(const mesh_snapshot& snapshot, std::string_view name);

} // namespace savorywheel::load

#endif
