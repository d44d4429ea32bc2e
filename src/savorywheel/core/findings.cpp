#include <savorywheel/core/findings.hpp>

#include <fmt/format.h>

#include <utility>

namespace savorywheel {

void findings::add(text_position place, std::string found, std::string expected)
{
    items_.push_back({place, std::move(found), std::move(expected)});
}

std::string findings::render(std::string_view source) const
{
    std::string text;
    for (const auto& item : items_) {
        text += fmt::format("{}:{}:{}: found {}; expected {}\n", source, item.place.line,
                            item.place.column, item.found, item.expected);
    }
    return text;
}

} // namespace savorywheel
