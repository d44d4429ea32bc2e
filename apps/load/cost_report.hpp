#ifndef SAVORYWHEEL_APPS_LOAD_COST_REPORT_HPP
#define SAVORYWHEEL_APPS_LOAD_COST_REPORT_HPP

#include <load/figure_list.hpp>
#include <load/mesh_snapshot.hpp>

namespace savorywheel::load {

/**
 * @brief Computes network, processor and store usage between two snapshots.
 * @param before Earlier snapshot.
 * @param after Later snapshot.
 * @return Figures of the nodes and of the store, with their budgets.
 */
[[nodiscard]] figure_list make_cost_report(const mesh_snapshot& before, const mesh_snapshot& after);

} // namespace savorywheel::load

#endif
