#ifndef SAVORYWHEEL_ENCODING_JSON_FIELDS_HPP
#define SAVORYWHEEL_ENCODING_JSON_FIELDS_HPP

#include <nlohmann/json.hpp>

#include <chrono>
#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace savorywheel {

using json = nlohmann::json;

/**
 * @return The parsed value; nothing if the text is not valid JSON or nested deeper than
 * max_json_depth, because copies, comparisons and output of a value recurse once per level.
 */
[[nodiscard]] std::optional<json> parse_json(std::string_view text);

/** @return The value as JSON text; bytes that are not valid UTF-8 are replaced by U+FFFD. */
[[nodiscard]] std::string json_output(const json& value);

/** @return The string field with the given key; nothing if absent or of another type. */
[[nodiscard]] std::optional<std::string> text_field(const json& object, const char* key);

/** @return The string, which the value owns; nothing if it is of another type. */
[[nodiscard]] std::optional<std::string_view> text_of(const json& value);

/** @return The unsigned integer field with the given key; nothing if absent or of another type. */
[[nodiscard]] std::optional<std::uint64_t> number_field(const json& object, const char* key);

/** @return The unsigned integer field; nothing if absent, of another type or beyond the range. */
template<std::unsigned_integral Number>
[[nodiscard]] std::optional<Number> number_field_as(const json& object, const char* key)
{
    const auto number = number_field(object, key);
    return number && std::in_range<Number>(*number) ? std::optional{static_cast<Number>(*number)}
                                                    : std::nullopt;
}

/** @return The numeric field with the given key; nothing if absent or of another type. */
[[nodiscard]] std::optional<double> real_field(const json& object, const char* key);

/**
 * @return The numeric field; the fallback if it is absent or null, NaN if it is of another type.
 */
[[nodiscard]] double real_field_or(const json& object, const char* key, double fallback);

/** @return True if the object has the field and its value is not null. */
[[nodiscard]] bool has_field(const json& object, const char* key);

/** @return The boolean field with the given key; nothing if absent or of another type. */
[[nodiscard]] std::optional<bool> bool_field(const json& object, const char* key);

/** @return The duration under a key, such as "1500ms" or "2.5s"; nothing if missing or invalid. */
[[nodiscard]] std::optional<std::chrono::milliseconds> duration_field(const json& object,
                                                                      const char* key);

/** @return The array field with the given key; nullptr if absent or of another type. */
[[nodiscard]] const json* list_field(const json& object, const char* key);

/** @return The object field with the given key; nullptr if absent or of another type. */
[[nodiscard]] const json* object_field(const json& object, const char* key);

} // namespace savorywheel

#endif
