#include <savorywheel/config/key_redactor.hpp>
#include <savorywheel/config/mesh_spec_parser.hpp>
#include <savorywheel/config/rfc3339_time.hpp>
#include <savorywheel/config/tenant_rules.hpp>
#include <savorywheel/config/yaml_cursor.hpp>

#include <fmt/format.h>

#include <cmath>
#include <optional>
#include <utility>

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
    cursor.expect_keys({"path", "idempotent", "deadline_ms", "calls", "public"});
    route_spec route;
    route.path = cursor.text("path");
    route.idempotent = cursor.bool_or("idempotent", false);
    route.deadline = std::chrono::milliseconds{cursor.number("deadline_ms")};
    route.calls = read_names(cursor, "calls");
    route.is_public = cursor.bool_or("public", false);
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

/** Reads a list of keys, and replaces them by their digests in the text that is kept. */
void read_keys(const yaml_cursor& cursor, tenant_spec& tenant, const std::string& place,
               tenant_rules& rules, key_redactor& redactor, const position_index& positions,
               findings& report)
{
    std::size_t i = 0;
    for (const auto& key : cursor.secret_list("keys")) {
        const auto position = positions.find(fmt::format("{}/{}", place, i++));
        if (const auto digest = parse_key_digest(key)) {
            rules.add_digest(tenant, *digest);
            continue;
        }
        const auto known = tenant.keys.size();
        rules.add_key(tenant, key);
        if (tenant.keys.size() > known && !redactor.replace(position, key)) {
            report.add(position, "a key that cannot be replaced by its digest in the text",
                       "a key on one line, with quotes or without, and without escapes");
        }
    }
}

tenant_spec read_tenant(const yaml_cursor& cursor, const std::string& place, tenant_rules& rules,
                        key_redactor& redactor, const position_index& positions, findings& report)
{
    cursor.expect_keys({"name", "keys", "priority", "rate_per_s", "burst"});
    tenant_spec tenant{tenant_name{cursor.text("name")}, {}};
    read_keys(cursor, tenant, place, rules, redactor, positions, report);
    const auto priority = cursor.number_or("priority", 0);
    rules.set_priority(tenant, std::in_range<std::uint32_t>(priority)
                                   ? std::optional{static_cast<std::uint32_t>(priority)}
                                   : std::nullopt);
    tenant.rate_per_s = cursor.decimal_or("rate_per_s", 0.0);
    tenant.burst = cursor.decimal_or("burst", 0.0);
    rules.end_tenant();
    return tenant;
}

} // namespace

mesh_spec mesh_spec_parser::read(std::string_view text, findings& report)
{
    positions_ = {};
    text_without_keys_ = text;
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
    root->expect_keys({"failure_domains", "services", "tenants"});
    for (const auto& item : root->required_map_list("failure_domains")) {
        spec.domains.push_back(read_domain(item));
    }
    for (const auto& item : root->required_map_list("services")) {
        spec.services.push_back(read_service(item));
    }
    spec.tenants = read_tenants(*root, text, report);
    return spec;
}

std::vector<tenant_spec> mesh_spec_parser::read_tenants(const yaml_cursor& root,
                                                        std::string_view text, findings& report)
{
    std::vector<tenant_spec> tenants;
    tenant_rules rules;
    key_redactor redactor{text};
    for (const auto& item : root.map_list("tenants")) {
        const auto place = fmt::format("tenants/{}/keys", tenants.size());
        tenants.push_back(read_tenant(item, place, rules, redactor, positions_, report));
    }
    for (const auto& fault : rules.faults()) {
        report.add(positions_.find(place_of(fault, "keys", "rate_per_s")), fault.found,
                   fault.expected);
    }
    text_without_keys_ = redactor.text();
    return tenants;
}

} // namespace savorywheel
