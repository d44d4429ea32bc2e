#ifndef SAVORYWHEEL_ENCODING_JSON_FIELDS_HPP
#define SAVORYWHEEL_ENCODING_JSON_FIELDS_HPP

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace savorywheel {

/** @brief A JSON value of any type. */
using json = nlohmann::json;

/** @return The value; nothing if the text is not JSON. */
[[nodiscard]] std::optional<json> parse_json(std::string_view text);

/** @return The text under a key; nothing if there is none, or a value of another type. */
[[nodiscard]] std::optional<std::string> text_field(const json& object, const char* key);

/** @return The whole number under a key; nothing if there is none, or a value of another type. */
[[nodiscard]] std::optional<std::uint64_t> number_field(const json& object, const char* key);

/** @return The list under a key; nullptr if there is none. */
[[nodiscard]] const json* list_field(const json& object, const char* key);

/** @return The object under a key; nullptr if there is none. */
[[nodiscard]] const json* object_field(const json& object, const char* key);

} // namespace savorywheel

#endif
