#ifndef SAVORYWHEEL_ENCODING_JSON_DEPTH_HPP
#define SAVORYWHEEL_ENCODING_JSON_DEPTH_HPP

#include <cstddef>
#include <string_view>

namespace savorywheel {

/** @brief Limit on the nesting of JSON input, because the parser recurses once per level. */
inline constexpr std::size_t max_json_depth = 64;

/** @return The maximum nesting depth of arrays and objects in a JSON text. */
[[nodiscard]] std::size_t json_depth(std::string_view text) noexcept;

} // namespace savorywheel

#endif
