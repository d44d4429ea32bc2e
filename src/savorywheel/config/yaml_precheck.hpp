#ifndef SAVORYWHEEL_CONFIG_YAML_PRECHECK_HPP
#define SAVORYWHEEL_CONFIG_YAML_PRECHECK_HPP

#include <savorywheel/core/findings.hpp>

#include <string_view>

namespace savorywheel {

/**
 * @brief Checks at the level of parser events that a YAML text is safe to load.
 *
 * Aliases are rejected, because nested aliases let a short text expand without bound.
 * @param text YAML text.
 * @param report Receives errors: invalid YAML, aliases, more than one document.
 * @return True if no error was found.
 */
[[nodiscard]] bool precheck_yaml(std::string_view text, findings& report);

} // namespace savorywheel

#endif
