#include <savorywheel/config/yaml_cursor.hpp>
#include <savorywheel/config/yaml_position.hpp>
#include <savorywheel/config/yaml_precheck.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <utility>

namespace savorywheel {

namespace {

/** Quotes a value and truncates a long one, so that error messages stay readable. */
std::string quote(std::string_view value)
{
    constexpr std::size_t max_quoted_bytes = 80;
    if (value.size() <= max_quoted_bytes) {
        return fmt::format("\"{}\"", value);
    }
    return fmt::format("\"{}...\" ({} bytes)", value.substr(0, max_quoted_bytes), value.size());
}

std::string describe(const YAML::Node& node)
{
    if (node.IsMap()) {
        return "a map";
    }
    if (node.IsSequence()) {
        return "a list";
    }
    if (node.IsScalar()) {
        return quote(node.Scalar());
    }
    return "nothing";
}

} // namespace

yaml_cursor::yaml_cursor(const YAML::Node& node, std::string path, position_index& positions,
                         findings& report)
    : node_{node}, path_{std::move(path)}, positions_{&positions}, report_{&report}
{
    positions_->record(path_, position_at(node_.Mark()));
}

std::optional<yaml_cursor> yaml_cursor::parse(std::string_view text, position_index& positions,
                                              findings& report)
{
    if (!precheck_yaml(text, report)) {
        return std::nullopt;
    }
    try {
        auto root = YAML::Load(std::string{text});
        if (!root.IsMap()) {
            report.add({1, 1}, describe(root), "a map at the top level");
            return std::nullopt;
        }
        return yaml_cursor{root, "", positions, report};
    }
    catch (const YAML::Exception& error) {
        report.add(position_at(error.mark), fmt::format("a text that is not YAML ({})", error.msg),
                   "YAML");
        return std::nullopt;
    }
}

void yaml_cursor::expect_keys(std::initializer_list<std::string_view> known) const
{
    std::set<std::string> seen;
    for (const auto& item : node_) {
        const auto key = item.first.IsScalar() ? item.first.Scalar() : std::string{};
        if (std::ranges::find(known, key) == known.end()) {
            report_->add(position_at(item.first.Mark()), fmt::format("unknown key {}", quote(key)),
                         fmt::format("one of: {}", fmt::join(known, ", ")));
        }
        if (!seen.insert(key).second) {
            report_->add(position_at(item.first.Mark()), fmt::format("key {} twice", quote(key)),
                         "each key once");
        }
    }
}

bool yaml_cursor::has(std::string_view key) const
{
    return child(key).IsDefined();
}

std::string yaml_cursor::text(std::string_view key) const
{
    auto value = scalar(key, true, "a text").value_or("");
    if (value.empty() && has(key) && child(key).IsScalar()) {
        report_error(key, "an empty text", "a text");
    }
    return value;
}

std::string yaml_cursor::text_or(std::string_view key, std::string_view fallback) const
{
    return scalar(key, false, "a text").value_or(std::string{fallback});
}

std::int64_t yaml_cursor::number(std::string_view key) const
{
    if (!scalar(key, true, "a whole number")) {
        return 0;
    }
    return number_or(key, 0);
}

std::int64_t yaml_cursor::number_or(std::string_view key, std::int64_t fallback) const
{
    if (!scalar(key, false, "a whole number")) {
        return fallback;
    }
    std::int64_t value{};
    if (!YAML::convert<std::int64_t>::decode(child(key), value)) {
        report_error(key, describe(child(key)), "a whole number");
        return fallback;
    }
    return value;
}

double yaml_cursor::decimal(std::string_view key) const
{
    double value{};
    if (scalar(key, true, "a number") && !YAML::convert<double>::decode(child(key), value)) {
        report_error(key, describe(child(key)), "a number");
    }
    return value;
}

bool yaml_cursor::bool_or(std::string_view key, bool fallback) const
{
    if (!scalar(key, false, "true or false")) {
        return fallback;
    }
    bool value{};
    if (!YAML::convert<bool>::decode(child(key), value)) {
        report_error(key, describe(child(key)), "true or false");
        return fallback;
    }
    return value;
}

std::vector<std::string> yaml_cursor::text_list(std::string_view key) const
{
    const auto list = child(key);
    if (!list.IsDefined()) {
        return {};
    }
    if (!list.IsSequence()) {
        report_error(key, describe(list), "a list of texts");
        return {};
    }
    std::vector<std::string> values;
    for (std::size_t i = 0; i < list.size(); ++i) {
        positions_->record(fmt::format("{}{}/{}", path_, key, i), position_at(list[i].Mark()));
        if (!list[i].IsScalar() || list[i].Scalar().empty()) {
            report_->add(position_at(list[i].Mark()), describe(list[i]), "a text");
            continue;
        }
        values.push_back(list[i].Scalar());
    }
    return values;
}

std::vector<std::string> yaml_cursor::secret_list(std::string_view key) const
{
    const auto list = child(key);
    if (list.IsDefined() && !list.IsSequence()) {
        report_error(key, "a value that is not a list", "a list of texts");
        return {};
    }
    std::vector<std::string> values;
    for (std::size_t i = 0; list.IsDefined() && i < list.size(); ++i) {
        positions_->record(fmt::format("{}{}/{}", path_, key, i), position_at(list[i].Mark()));
        values.push_back(list[i].IsScalar() ? list[i].Scalar() : std::string{});
    }
    return values;
}

double yaml_cursor::decimal_or(std::string_view key, double fallback) const
{
    return has(key) ? decimal(key) : fallback;
}

std::vector<yaml_cursor> yaml_cursor::map_list(std::string_view key) const
{
    const auto list = child(key);
    if (!list.IsDefined()) {
        return {};
    }
    if (!list.IsSequence()) {
        report_error(key, describe(list), "a list");
        return {};
    }
    std::vector<yaml_cursor> values;
    for (std::size_t i = 0; i < list.size(); ++i) {
        if (!list[i].IsMap()) {
            report_->add(position_at(list[i].Mark()), describe(list[i]), "a map");
            continue;
        }
        values.emplace_back(list[i], fmt::format("{}{}/{}/", path_, key, i), *positions_, *report_);
        positions_->record(fmt::format("{}{}/{}", path_, key, i), position_at(list[i].Mark()));
    }
    return values;
}

std::vector<yaml_cursor> yaml_cursor::required_map_list(std::string_view key) const
{
    if (!has(key)) {
        report_->add(position_at(node_.Mark()), fmt::format("no key \"{}\"", key), "a list");
        return {};
    }
    auto values = map_list(key);
    if (child(key).IsSequence() && child(key).size() == 0) {
        report_error(key, "an empty list", "at least one entry");
    }
    return values;
}

std::optional<yaml_cursor> yaml_cursor::map(std::string_view key) const
{
    const auto value = child(key);
    if (!value.IsDefined()) {
        return std::nullopt;
    }
    if (!value.IsMap()) {
        report_error(key, describe(value), "a map");
        return std::nullopt;
    }
    return yaml_cursor{value, fmt::format("{}{}/", path_, key), *positions_, *report_};
}

text_position yaml_cursor::position_of(std::string_view key) const
{
    const auto value = child(key);
    return position_at(value.IsDefined() ? value.Mark() : node_.Mark());
}

void yaml_cursor::report_error(std::string_view key, std::string found, std::string expected) const
{
    report_->add(position_of(key), fmt::format("{} under \"{}\"", found, key), std::move(expected));
}

YAML::Node yaml_cursor::child(std::string_view key) const
{
    const auto& read_only_node = node_;
    auto value = read_only_node[std::string{key}];
    if (value.IsDefined()) {
        positions_->record(fmt::format("{}{}", path_, key), position_at(value.Mark()));
    }
    return value;
}

std::optional<std::string> yaml_cursor::scalar(std::string_view key, bool required,
                                               std::string_view expected) const
{
    const auto value = child(key);
    if (!value.IsDefined()) {
        if (required) {
            report_->add(position_at(node_.Mark()), fmt::format("no key \"{}\"", key),
                         std::string{expected});
        }
        return std::nullopt;
    }
    if (!value.IsScalar()) {
        report_error(key, describe(value), std::string{expected});
        return std::nullopt;
    }
    return value.Scalar();
}

} // namespace savorywheel
