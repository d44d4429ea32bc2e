#include <savorywheel/config/mesh_spec_parser.hpp>
#include <savorywheel/config/rfc3339_time.hpp>
#include <savorywheel/config/yaml_cursor.hpp>

#include <fmt/format.h>

#include <cmath>

namespace savorywheel {

namespace {

constexpr double permille_per_percent = 10.0;
constexpr double rounding_tolerance = 1e-6;

std::vector<service_name> read_names(const yaml_cursor& cursor, std::string_view key)
{
    std::vector<service_name> names;
    for (auto& text : cursor.text_list(key)) {
        names.emplace_back(std::move(text));
    }
    return names;
}

domain_spec read_domain(const yaml_cursor& cursor)
{
    cursor.expect_keys({"name", "region"});
    return {failure_domain{cursor.text("name")}, region_name{cursor.text("region")}};
}

route_spec read_route(const yaml_cursor& cursor)
{
    cursor.expect_keys({"path", "idempotent", "deadline_ms", "calls"});
    route_spec route;
    route.path = cursor.text("path");
    route.idempotent = cursor.bool_or("idempotent", false);
    route.deadline = std::chrono::milliseconds{cursor.number("deadline_ms")};
    route.calls = read_names(cursor, "calls");
    return route;
}

version_weight read_version(const yaml_cursor& cursor)
{
    cursor.expect_keys({"name", "weight"});
    version_weight weight{version_name{cursor.text("name")}, 0};
    const auto percent = cursor.decimal("weight");
    if (!(percent >= 0.0 && percent <= 100.0)) {
        cursor.report_error("weight", fmt::format("{}", percent), "a number from 0 to 100");
        return weight;
    }
    const auto permille = std::round(percent * permille_per_percent);
    if (std::abs(permille - percent * permille_per_percent) > rounding_tolerance) {
        cursor.report_error("weight", fmt::format("{}", percent), "at most one decimal place");
    }
    weight.permille = static_cast<std::uint32_t>(permille);
    return weight;
}

traffic_target read_target(const yaml_cursor& cursor)
{
    traffic_target target;
    for (const auto& item : cursor.required_map_list("versions")) {
        target.weights.push_back(read_version(item));
    }
    if (const auto due = cursor.text_or("by", ""); cursor.has("by")) {
        target.due = parse_calendar_time(due);
        if (!target.due) {
            cursor.report_error("by", fmt::format("\"{}\"", due),
                                "a UTC time such as 2026-12-04T18:00:00Z");
        }
    }
    return target;
}

service_spec read_service(const yaml_cursor& cursor)
{
    cursor.expect_keys({"name", "depends_on", "routes", "versions", "by"});
    service_spec service;
    service.name = service_name{cursor.text("name")};
    service.depends_on = read_names(cursor, "depends_on");
    for (const auto& item : cursor.required_map_list("routes")) {
        service.routes.push_back(read_route(item));
    }
    service.target = read_target(cursor);
    return service;
}

} // namespace

mesh_spec mesh_spec_parser::read(std::string_view text, findings& report)
{
    positions_ = {};
    mesh_spec spec;
    if (text.size() > max_config_text_bytes) {
        report.add({}, fmt::format("a text of {} bytes", text.size()),
                   fmt::format("at most {} bytes", max_config_text_bytes));
        return spec;
    }
    const auto root = yaml_cursor::parse(text, positions_, report);
    if (!root) {
        return spec;
    }
    root->expect_keys({"failure_domains", "services"});
    for (const auto& item : root->required_map_list("failure_domains")) {
        spec.domains.push_back(read_domain(item));
    }
    for (const auto& item : root->required_map_list("services")) {
        spec.services.push_back(read_service(item));
    }
    return spec;
}

} // namespace savorywheel
