#ifndef SAVORYWHEEL_APPS_LOAD_LOAD_PLAN_READER_HPP
#define SAVORYWHEEL_APPS_LOAD_LOAD_PLAN_READER_HPP

#include <savorywheel/core/findings.hpp>

#include <load/load_plan.hpp>

#include <string_view>

namespace savorywheel::load {

/**
 * @brief Parses and validates the YAML settings of the load generator.
 * @param text YAML text.
 * @param report Receives all findings.
 * @return Load plan; incomplete if findings were added.
 */
[[nodiscard]] load_plan read_load_plan(std::string_view text, findings& report);

} // namespace savorywheel::load

#endif
