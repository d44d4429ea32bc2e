#ifndef SAVORYWHEEL_APPS_LOAD_MESH_READING_HPP
#define SAVORYWHEEL_APPS_LOAD_MESH_READING_HPP

#include <load/bench_mesh.hpp>
#include <load/metric_reading.hpp>

#include <string_view>
#include <vector>

namespace savorywheel::load {

/** @brief Metrics of all processes of a mesh, read one after another. */
struct mesh_reading {
    /** @brief Metrics of the nodes, ordered by node index. */
    std::vector<metric_reading> nodes;
    /** @brief Metrics of the platform stand-in. */
    metric_reading platform;
};

/** @brief Reads the current metrics of all processes. */
[[nodiscard]] mesh_reading read_mesh(bench_mesh& mesh);

/** @return Increase of a metric per second, averaged over the nodes. */
[[nodiscard]] double node_rate(const mesh_reading& before, const mesh_reading& after,
                               std::string_view name);

/** @return Highest increase of a metric per second among the nodes. */
[[nodiscard]] double greatest_node_rate(const mesh_reading& before, const mesh_reading& after,
                                        std::string_view name);

/** @return Increase of a metric of the platform stand-in per second. */
[[nodiscard]] double platform_rate(const mesh_reading& before, const mesh_reading& after,
                                   std::string_view name);

/** @return Increase of a metric between the snapshots, averaged over the nodes. */
[[nodiscard]] double node_growth(const mesh_reading& before, const mesh_reading& after,
                                 std::string_view name);

/** @return Highest value of a metric among the nodes. */
[[nodiscard]] double greatest_node_value(const mesh_reading& reading, std::string_view name);

} // namespace savorywheel::load

#endif
