#ifndef SAVORYWHEEL_APPS_LOAD_COST_REPORT_HPP
#define SAVORYWHEEL_APPS_LOAD_COST_REPORT_HPP

#include <load/figure_list.hpp>
#include <load/mesh_snapshot.hpp>

namespace savorywheel::load {

/**
 * @brief Computes what the nodes and the platform's service spent between two readings.
 * @param before First reading.
 * @param after Second reading.
 */
[[nodiscard]] figure_list make_cost_report(const mesh_snapshot& before, const mesh_snapshot& after);

} // namespace savorywheel::load

#endif
