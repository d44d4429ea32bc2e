#include <savorywheel/explain/log_line_reader.hpp>

#include <nlohmann/json.hpp>

#include <charconv>

namespace savorywheel {

namespace {

using json = nlohmann::json;

constexpr std::string_view number_prefix = "SW";

std::string text_of(const json& object, const char* name)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_string() ? found->get<std::string>() : std::string{};
}

failure malformed()
{
    return {failure_code::malformed, "not a line of a node's log"};
}

} // namespace

outcome<log_line> read_log_line(std::string_view line)
{
    const auto start = line.find('{');
    if (start == std::string_view::npos) {
        return malformed();
    }
    const auto object = json::parse(line.substr(start), nullptr, false);
    if (!object.is_object()) {
        return malformed();
    }
    log_line item;
    item.time = text_of(object, "timestamp");
    item.text = text_of(object, "message");
    if (!item.text.starts_with(number_prefix)) {
        return malformed();
    }
    int number{};
    const auto* first = item.text.data() + number_prefix.size();
    if (std::from_chars(first, item.text.data() + item.text.size(), number).ec != std::errc{}) {
        return malformed();
    }
    item.event = static_cast<event_id>(number);
    if (const auto context = object.find("context_map"); context != object.end()) {
        for (const auto& [name, value] : context->items()) {
            if (value.is_string()) {
                item.fields.emplace(name, value.get<std::string>());
            }
        }
    }
    return item;
}

} // namespace savorywheel
