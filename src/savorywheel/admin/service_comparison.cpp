#include <savorywheel/admin/service_comparison.hpp>
#include <savorywheel/config/rfc3339_time.hpp>

#include <fmt/format.h>

#include <algorithm>

namespace savorywheel {

namespace {

std::string describe_names(std::span<const service_name> names)
{
    std::string text;
    for (const auto& name : names) {
        text += (text.empty() ? "" : ", ") + name.str();
    }
    return '[' + text + ']';
}

std::string describe_route(const route_spec& route)
{
    return fmt::format("{}{}, deadline {} ms, calls {}", route.is_public ? "public, " : "",
                       route.idempotent ? "idempotent" : "not idempotent", route.deadline.count(),
                       describe_names(route.calls));
}

std::string describe_target(const traffic_target& target)
{
    const auto due = target.due ? " by " + format_calendar_time(*target.due) : "";
    return describe_weights(target.weights) + due;
}

void compare_routes(const service_spec& old, const service_spec& desired,
                    std::vector<std::string>& details)
{
    for (const auto& route : desired.routes) {
        const auto before = std::ranges::find(old.routes, route.path, &route_spec::path);
        if (before == old.routes.end()) {
            details.push_back(fmt::format("route {} added: {}", route.path, describe_route(route)));
        }
        else if (*before != route) {
            details.push_back(fmt::format("route {}: {} -> {}", route.path, describe_route(*before),
                                          describe_route(route)));
        }
    }
    for (const auto& route : old.routes) {
        if (std::ranges::find(desired.routes, route.path, &route_spec::path) ==
            desired.routes.end()) {
            details.push_back(fmt::format("route {} removed", route.path));
        }
    }
}

} // namespace

std::vector<std::string> compare_service(const service_spec& old, const service_spec& desired)
{
    std::vector<std::string> details;
    if (old.depends_on != desired.depends_on) {
        details.push_back(fmt::format("depends_on: {} -> {}", describe_names(old.depends_on),
                                      describe_names(desired.depends_on)));
    }
    compare_routes(old, desired, details);
    if (old.target != desired.target) {
        details.push_back(fmt::format("versions: {} -> {}", describe_target(old.target),
                                      describe_target(desired.target)));
    }
    return details;
}

std::string describe_weights(std::span<const version_weight> weights)
{
    constexpr double permille_per_percent = 10.0;
    std::string text;
    for (const auto& weight : weights) {
        text += fmt::format("{}{} {} %", text.empty() ? "" : ", ", weight.version.str(),
                            static_cast<double>(weight.permille) / permille_per_percent);
    }
    return text;
}

} // namespace savorywheel
