#ifndef SAVORYWHEEL_CONFIG_YAML_POSITION_HPP
#define SAVORYWHEEL_CONFIG_YAML_POSITION_HPP

#include <savorywheel/core/text_position.hpp>

#include <yaml-cpp/mark.h>

namespace savorywheel {

/** @return The place of a mark of yaml-cpp; the whole text if the mark is empty. */
[[nodiscard]] inline text_position position_at(const YAML::Mark& mark)
{
    if (mark.is_null()) {
        return {};
    }
    return {static_cast<std::size_t>(mark.line) + 1, static_cast<std::size_t>(mark.column) + 1};
}

} // namespace savorywheel

#endif
