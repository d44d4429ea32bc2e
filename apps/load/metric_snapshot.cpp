#include <load/metric_snapshot.hpp>

#include <cstdlib>

namespace savorywheel::load {

namespace {

constexpr std::string_view prefix = "savorywheel_";
constexpr char comment = '#';

} // namespace

double metric_snapshot::value(std::string_view name) const
{
    const auto found = values.find(name);
    return found == values.end() ? 0.0 : found->second;
}

metric_snapshot parse_metrics(std::string_view text, monotonic_time at)
{
    metric_snapshot snapshot{at, {}};
    while (!text.empty()) {
        const auto end = text.find('\n');
        auto line = text.substr(0, end);
        text = end == std::string_view::npos ? std::string_view{} : text.substr(end + 1);
        if (line.starts_with(comment)) {
            continue;
        }
        if (line.starts_with(prefix)) {
            line.remove_prefix(prefix.size());
        }
        const auto space = line.find(' ');
        if (space != std::string_view::npos) {
            const std::string number{line.substr(space + 1)};
            snapshot.values.insert_or_assign(std::string{line.substr(0, space)},
                                             std::strtod(number.c_str(), nullptr));
        }
    }
    return snapshot;
}

} // namespace savorywheel::load
