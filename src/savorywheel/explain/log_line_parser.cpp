#include <savorywheel/encoding/json_fields.hpp>
#include <savorywheel/explain/log_line_parser.hpp>

#include <charconv>

namespace savorywheel {

namespace {

constexpr std::string_view number_prefix = "SW";

failure malformed()
{
    return {failure_code::malformed, "not a log line of a node"};
}

} // namespace

outcome<log_line> parse_log_line(std::string_view line)
{
    const auto start = line.find('{');
    if (start == std::string_view::npos) {
        return malformed();
    }
    const auto object = parse_json(line.substr(start));
    if (!object) {
        return malformed();
    }
    log_line item;
    item.time = text_field(*object, "timestamp").value_or("");
    item.message = text_field(*object, "message").value_or("");
    if (!item.message.starts_with(number_prefix)) {
        return malformed();
    }
    int number{};
    const auto* first = item.message.data() + number_prefix.size();
    if (std::from_chars(first, item.message.data() + item.message.size(), number).ec !=
        std::errc{}) {
        return malformed();
    }
    item.event = static_cast<event_id>(number);
    if (const auto* context = object_field(*object, "context_map")) {
        for (const auto& [name, value] : context->items()) {
            if (value.is_string()) {
                item.fields.emplace(name, value.get<std::string>());
            }
        }
    }
    return item;
}

} // namespace savorywheel
