#include <savorywheel/config/name_rules.hpp>
#include <savorywheel/config/service_validator.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <numeric>
#include <set>
#include <string_view>
#include <utility>

namespace savorywheel {

namespace {

bool is_route_path(std::string_view path)
{
    const auto allowed = [](char c) { return c > ' ' && c < '\x7f' && c != '?' && c != '#'; };
    return path.starts_with('/') && path.size() <= max_route_path_bytes &&
           std::ranges::all_of(path, allowed);
}

double percent_of(std::uint64_t permille)
{
    constexpr double permille_per_percent = 10.0;
    return static_cast<double>(permille) / permille_per_percent;
}

} // namespace

service_validator::service_validator(const service_spec& service, std::string path,
                                     const position_index& positions, findings& report)
    : service_{service}, position_path_{std::move(path)}, positions_{positions}, report_{report}
{
}

void service_validator::check_routes() const
{
    std::set<std::string> seen;
    for (std::size_t r = 0; r < service_.routes.size(); ++r) {
        const auto path = fmt::format("{}/routes/{}", position_path_, r);
        check_route(service_.routes[r], path);
        check_called_services(service_.routes[r], path);
        if (!seen.insert(service_.routes[r].path).second) {
            report_.add(positions_.find(path + "/path"),
                        fmt::format("route {} twice", service_.routes[r].path),
                        "each path once in a service");
        }
    }
}

void service_validator::check_route(const route_spec& route, const std::string& path) const
{
    if (!route.path.empty() && !is_route_path(route.path)) {
        report_.add(positions_.find(path + "/path"), fmt::format("path \"{}\"", route.path),
                    fmt::format("a path that starts with /, of at most {} printable bytes, without "
                                "spaces, ? and #",
                                max_route_path_bytes));
    }
    if (route.deadline.count() <= 0 || route.deadline > max_route_deadline) {
        report_.add(positions_.find(path + "/deadline_ms"),
                    fmt::format("deadline of {} ms", route.deadline.count()),
                    fmt::format("1 to {} ms", max_route_deadline.count()));
    }
}

void service_validator::check_called_services(const route_spec& route,
                                              const std::string& path) const
{
    std::set<service_name> seen;
    for (std::size_t c = 0; c < route.calls.size(); ++c) {
        const auto position = positions_.find(fmt::format("{}/calls/{}", path, c));
        if (std::ranges::find(service_.depends_on, route.calls[c]) == service_.depends_on.end()) {
            report_.add(position, fmt::format("a call to {}", route.calls[c].str()),
                        fmt::format("a service that {} depends on", service_.name.str()));
        }
        if (!seen.insert(route.calls[c]).second) {
            report_.add(position, fmt::format("call to {} twice", route.calls[c].str()),
                        "each called service once in a route");
        }
    }
}

void service_validator::check_versions() const
{
    const auto& weights = service_.target.weights;
    const auto sum = std::accumulate(
        weights.begin(), weights.end(), std::uint64_t{0},
        [](std::uint64_t total, const version_weight& item) { return total + item.permille; });
    if (!weights.empty() && sum != weight_sum_permille) {
        report_.add(positions_.find(position_path_ + "/versions"),
                    fmt::format("weights that add up to {} %", percent_of(sum)),
                    "weights that add up to 100 %");
    }
    std::set<version_name> names;
    for (std::size_t v = 0; v < weights.size(); ++v) {
        const auto position =
            positions_.find(fmt::format("{}/versions/{}/name", position_path_, v));
        const auto& name = weights[v].version;
        if (!name.empty() && !is_key_segment(name.str())) {
            report_.add(position, fmt::format("version \"{}\"", name.str()),
                        std::string{key_segment_rule});
        }
        if (!names.insert(name).second) {
            report_.add(position, fmt::format("version {} twice", name.str()),
                        "each version once in a service");
        }
    }
}

void service_validator::check_due_time(calendar_time now) const
{
    if (service_.target.due && *service_.target.due <= now) {
        report_.add(positions_.find(position_path_ + "/by"), "a deadline in the past",
                    "a time in the future");
    }
}

} // namespace savorywheel
