#ifndef SAVORYWHEEL_CONFIG_YAML_PRECHECK_HPP
#define SAVORYWHEEL_CONFIG_YAML_PRECHECK_HPP

#include <savorywheel/core/findings.hpp>

#include <string_view>

namespace savorywheel {

/**
 * @brief Checks a YAML text before it is loaded.
 *
 * Aliases are refused, since a short text can use them to describe an unbounded document.
 * @param text YAML text.
 * @param report Collects faults: not YAML, aliases, more than one document.
 * @return True if the text may be loaded.
 */
[[nodiscard]] bool precheck_yaml(std::string_view text, findings& report);

} // namespace savorywheel

#endif
