#include <fmt/format.h>
#include <load/figure_list.hpp>

#include <utility>

namespace savorywheel::load {

namespace {

std::string budget_status(const figure& item)
{
    if (!item.budget) {
        return {};
    }
    if (!item.value) {
        return "not measured";
    }
    return *item.value <= *item.budget ? "met" : "missed";
}

std::string text_of(const std::optional<double>& value)
{
    return value ? fmt::format("{:.3f}", *value) : "not measured";
}

std::string json_of(const std::optional<double>& value)
{
    return value ? fmt::format("{:.6g}", *value) : "null";
}

} // namespace

void figure_list::add(std::string name, std::optional<double> value, std::string unit,
                      std::optional<double> budget)
{
    items_.push_back({std::move(name), value, std::move(unit), budget});
}

void figure_list::append(std::string_view prefix, const figure_list& other)
{
    for (const auto& item : other.items_) {
        add(std::string{prefix} + item.name, item.value, item.unit, item.budget);
    }
}

std::optional<double> figure_list::find(std::string_view name) const
{
    for (const auto& item : items_) {
        if (item.name == name) {
            return item.value;
        }
    }
    return std::nullopt;
}

std::string figure_list::table() const
{
    std::string text;
    for (const auto& item : items_) {
        text += fmt::format("{:<44} {:>14} {:<10}", item.name, text_of(item.value), item.unit);
        if (item.budget) {
            text += fmt::format(" budget {:.3f}: {}", *item.budget, budget_status(item));
        }
        text += '\n';
    }
    return text;
}

std::string figure_list::json() const
{
    std::string text = "[";
    for (const auto& item : items_) {
        text += fmt::format(R"({}{{"name":"{}","value":{},"unit":"{}","budget":{}}})",
                            text.size() > 1 ? ",\n " : "", item.name, json_of(item.value),
                            item.unit, json_of(item.budget));
    }
    return text + "]";
}

} // namespace savorywheel::load
