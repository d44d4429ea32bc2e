#ifndef SAVORYWHEEL_APPS_LOAD_NODE_STATE_BENCHMARK_HPP
#define SAVORYWHEEL_APPS_LOAD_NODE_STATE_BENCHMARK_HPP

#include <load/figure_list.hpp>

#include <cstddef>

namespace savorywheel::load {

/**
 * @brief Measures the state of one node at a size, and what work on it takes.
 *
 * The state is built in this process alone: member records, configuration, routing table.
 * @param members Number of members.
 * @param services Number of services.
 */
[[nodiscard]] figure_list measure_node_state(std::size_t members, std::size_t services);

} // namespace savorywheel::load

#endif
