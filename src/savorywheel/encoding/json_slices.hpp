#ifndef SAVORYWHEEL_ENCODING_JSON_SLICES_HPP
#define SAVORYWHEEL_ENCODING_JSON_SLICES_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace savorywheel {

/**
 * @brief Splits a JSON array into the texts of its elements.
 *
 * Only the brackets, strings and commas are read, without recursion, so that an element that cannot
 * be parsed does not affect the others.
 * @return Views into the text; nothing if it is not an array.
 */
[[nodiscard]] std::optional<std::vector<std::string_view>> json_elements(std::string_view text);

/**
 * @brief Finds a member of a JSON object without parsing the others.
 * @return View of the member's value, of the last one if the key is repeated; nothing if the text
 * is not an object or lacks the key.
 */
[[nodiscard]] std::optional<std::string_view> json_member(std::string_view text,
                                                          std::string_view key);

/** @return The value of a JSON text that is a string; nothing if it is not a valid string. */
[[nodiscard]] std::optional<std::string> json_text(std::string_view text);

/** @return The value of a JSON text that is an unsigned integer of 64 bits; nothing otherwise. */
[[nodiscard]] std::optional<std::uint64_t> json_number(std::string_view text);

} // namespace savorywheel

#endif
