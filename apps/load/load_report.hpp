#ifndef SAVORYWHEEL_APPS_LOAD_LOAD_REPORT_HPP
#define SAVORYWHEEL_APPS_LOAD_LOAD_REPORT_HPP

#include <load/call_sample.hpp>
#include <load/figure_list.hpp>

#include <span>

namespace savorywheel::load {

/**
 * @brief Computes latency by path, errors by result, and the latency added by the mesh.
 * @param samples Completed requests.
 */
[[nodiscard]] figure_list make_load_report(std::span<const call_sample> samples);

} // namespace savorywheel::load

#endif
