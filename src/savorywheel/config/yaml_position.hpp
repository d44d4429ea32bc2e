#ifndef SAVORYWHEEL_CONFIG_YAML_POSITION_HPP
#define SAVORYWHEEL_CONFIG_YAML_POSITION_HPP

#include <savorywheel/core/text_position.hpp>

#include <yaml-cpp/mark.h>

namespace savorywheel {

/** @brief Converts a zero-based mark of yaml-cpp; a null mark means the whole text. */
[[nodiscard]] inline text_position position_at(const YAML::Mark& mark)
{
    if (mark.is_null()) {
        return {};
    }
    return {static_cast<std::size_t>(mark.line) + 1, static_cast<std::size_t>(mark.column) + 1};
}

} // namespace savorywheel

#endif
