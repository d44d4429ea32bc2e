#include <savorywheel/core/duration_text.hpp>
#include <savorywheel/encoding/json_depth.hpp>
#include <savorywheel/encoding/json_fields.hpp>

#include <limits>

namespace savorywheel {

namespace {

const json* find(const json& object, const char* key)
{
    if (!object.is_object()) {
        return nullptr;
    }
    const auto found = object.find(key);
    return found == object.end() ? nullptr : &*found;
}

} // namespace

std::optional<json> parse_json(std::string_view text)
{
    if (json_depth(text) > max_json_depth) {
        return std::nullopt;
    }
    auto value = json::parse(text, nullptr, false);
    if (value.is_discarded()) {
        return std::nullopt;
    }
    return value;
}

std::string json_output(const json& value)
{
    constexpr int no_indent = -1;
    return value.dump(no_indent, ' ', false, json::error_handler_t::replace);
}

std::optional<std::string> text_field(const json& object, const char* key)
{
    const auto* value = find(object, key);
    if (value == nullptr || !value->is_string()) {
        return std::nullopt;
    }
    return value->get<std::string>();
}

std::optional<std::string_view> text_of(const json& value)
{
    return value.is_string() ? std::optional<std::string_view>{value.get_ref<const std::string&>()}
                             : std::nullopt;
}

std::optional<std::uint64_t> number_field(const json& object, const char* key)
{
    const auto* value = find(object, key);
    if (value == nullptr || !value->is_number_unsigned()) {
        return std::nullopt;
    }
    return value->get<std::uint64_t>();
}

std::optional<double> real_field(const json& object, const char* key)
{
    const auto* value = find(object, key);
    return value != nullptr && value->is_number() ? std::optional{value->get<double>()}
                                                  : std::nullopt;
}

double real_field_or(const json& object, const char* key, double fallback)
{
    return has_field(object, key)
               ? real_field(object, key).value_or(std::numeric_limits<double>::quiet_NaN())
               : fallback;
}

bool has_field(const json& object, const char* key)
{
    const auto* value = find(object, key);
    return value != nullptr && !value->is_null();
}

std::optional<bool> bool_field(const json& object, const char* key)
{
    const auto* value = find(object, key);
    return value != nullptr && value->is_boolean() ? std::optional{value->get<bool>()}
                                                   : std::nullopt;
}

std::optional<std::chrono::milliseconds> duration_field(const json& object, const char* key)
{
    const auto text = text_field(object, key);
    return text ? parse_duration(*text) : std::nullopt;
}

const json* list_field(const json& object, const char* key)
{
    const auto* value = find(object, key);
    return value != nullptr && value->is_array() ? value : nullptr;
}

const json* object_field(const json& object, const char* key)
{
    const auto* value = find(object, key);
    return value != nullptr && value->is_object() ? value : nullptr;
}

} // namespace savorywheel
