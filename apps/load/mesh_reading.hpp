#ifndef SAVORYWHEEL_APPS_LOAD_MESH_READING_HPP
#define SAVORYWHEEL_APPS_LOAD_MESH_READING_HPP

#include <load/bench_mesh.hpp>
#include <load/metric_reading.hpp>

#include <string_view>
#include <vector>

namespace savorywheel::load {

/** @brief Metrics of all processes of a mesh at about one time. */
struct mesh_reading {
    /** @brief Nodes, in their order. */
    std::vector<metric_reading> nodes;
    /** @brief The platform stand-in. */
    metric_reading platform;
};

/** @return The current metrics. */
[[nodiscard]] mesh_reading read_mesh(bench_mesh& mesh);

/** @return Mean growth of a value of the nodes in a second, per node. */
[[nodiscard]] double node_rate(const mesh_reading& before, const mesh_reading& after,
                               std::string_view name);

/** @return Greatest growth of a value in a second among the nodes. */
[[nodiscard]] double greatest_node_rate(const mesh_reading& before, const mesh_reading& after,
                                        std::string_view name);

/** @return Growth of a value of the platform stand-in in a second. */
[[nodiscard]] double platform_rate(const mesh_reading& before, const mesh_reading& after,
                                   std::string_view name);

/** @return Mean growth of a value per node. */
[[nodiscard]] double node_growth(const mesh_reading& before, const mesh_reading& after,
                                 std::string_view name);

/** @return Greatest value among the nodes. */
[[nodiscard]] double greatest_node_value(const mesh_reading& reading, std::string_view name);

} // namespace savorywheel::load

#endif
