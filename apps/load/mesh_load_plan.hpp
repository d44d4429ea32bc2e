#ifndef SAVORYWHEEL_APPS_LOAD_MESH_LOAD_PLAN_HPP
#define SAVORYWHEEL_APPS_LOAD_MESH_LOAD_PLAN_HPP

#include <load/bench_mesh.hpp>
#include <load/load_plan.hpp>
#include <load/measure_options.hpp>

#include <chrono>

namespace savorywheel::load {

/**
 * @brief Plans a load on all services, alternating between the mesh and direct requests.
 * @param options Request rate.
 * @param mesh Mesh whose nodes and backend servers receive the requests.
 * @param period Duration of the load.
 */
[[nodiscard]] load_plan make_mesh_load_plan(const measure_options& options, const bench_mesh& mesh,
                                            std::chrono::seconds period);

} // namespace savorywheel::load

#endif
