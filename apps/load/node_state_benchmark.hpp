#ifndef SAVORYWHEEL_APPS_LOAD_NODE_STATE_BENCHMARK_HPP
#define SAVORYWHEEL_APPS_LOAD_NODE_STATE_BENCHMARK_HPP

#include <load/figure_list.hpp>

#include <cstddef>

namespace savorywheel::load {

/**
 * @brief Benchmarks memory and processing time of one node's state for a given mesh size.
 *
 * Builds member records, configuration and routing table in this process, without a network.
 * @param members Number of members.
 * @param services Number of services.
 */
[[nodiscard]] figure_list measure_node_state(std::size_t members, std::size_t services);

} // namespace savorywheel::load

#endif
