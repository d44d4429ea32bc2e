#ifndef SAVORYWHEEL_ENCODING_JSON_DEPTH_HPP
#define SAVORYWHEEL_ENCODING_JSON_DEPTH_HPP

#include <cstddef>
#include <string_view>

namespace savorywheel {

/** @brief Deepest nesting of a JSON text that is parsed; the parser recurses once per level. */
inline constexpr std::size_t max_json_depth = 64;

/** @return How deeply brackets and braces are nested outside of strings. */
[[nodiscard]] std::size_t json_depth(std::string_view text) noexcept;

} // namespace savorywheel

#endif
