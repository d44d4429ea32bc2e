#include <savorywheel/config/yaml_cursor.hpp>

#include <fmt/format.h>
#include <load/load_plan_reader.hpp>

namespace savorywheel::load {

namespace {

constexpr std::int64_t max_connections = 1024;
constexpr std::int64_t max_body_bytes = 8'000'000;

std::int64_t read_bounded(const yaml_cursor& cursor, std::string_view key, std::int64_t fallback,
                          std::int64_t min_value, std::int64_t max_value)
{
    const auto value = cursor.number_or(key, fallback);
    if (value < min_value || value > max_value) {
        cursor.report_error(key, fmt::format("{}", value),
                            fmt::format("a number from {} to {}", min_value, max_value));
        return fallback;
    }
    return value;
}

std::vector<network_endpoint> read_endpoints(const yaml_cursor& cursor, std::string_view key)
{
    std::vector<network_endpoint> endpoints;
    for (const auto& text : cursor.text_list(key)) {
        if (const auto endpoint = parse_endpoint(text)) {
            endpoints.push_back(*endpoint);
        }
        else {
            cursor.report_error(key, fmt::format("\"{}\"", text), "an address and port");
        }
    }
    return endpoints;
}

load_target read_target(const yaml_cursor& cursor)
{
    cursor.expect_keys({"service", "method", "path", "body_bytes", "weight", "backends"});
    constexpr std::int64_t max_weight = 1'000'000;
    load_target target;
    target.service = service_name{cursor.text("service")};
    target.method = cursor.text_or("method", "GET");
    target.path = cursor.text("path");
    target.body_bytes =
        static_cast<std::size_t>(read_bounded(cursor, "body_bytes", 0, 0, max_body_bytes));
    target.weight = static_cast<std::uint32_t>(read_bounded(cursor, "weight", 1, 1, max_weight));
    target.backends = read_endpoints(cursor, "backends");
    return target;
}

void read_numbers(const yaml_cursor& root, load_plan& plan)
{
    constexpr std::int64_t max_seconds = 86'400;
    constexpr std::int64_t max_deadline_ms = 600'000;
    plan.per_second = root.decimal("per_second");
    if (!(plan.per_second > 0.0)) {
        root.report_error("per_second", fmt::format("{}", plan.per_second), "a number above zero");
    }
    plan.period = std::chrono::seconds{read_bounded(root, "seconds", 10, 1, max_seconds)};
    plan.connections =
        static_cast<std::uint32_t>(read_bounded(root, "connections", 32, 1, max_connections));
    plan.deadline =
        std::chrono::milliseconds{read_bounded(root, "deadline_ms", 2000, 1, max_deadline_ms)};
    plan.seed = static_cast<std::uint64_t>(root.number_or("seed", 1));
    plan.alternate_direct = root.bool_or("alternate_direct", false);
}

} // namespace

load_plan read_load_plan(std::string_view text, findings& report)
{
    load_plan plan;
    position_index places;
    const auto root = yaml_cursor::parse(text, places, report);
    if (!root) {
        return plan;
    }
    root->expect_keys({"per_second", "seconds", "connections", "deadline_ms", "nodes", "targets",
                       "alternate_direct", "seed"});
    read_numbers(*root, plan);
    plan.nodes = read_endpoints(*root, "nodes");
    for (const auto& item : root->map_list("targets")) {
        plan.targets.push_back(read_target(item));
        if (plan.alternate_direct && plan.targets.back().backends.empty()) {
            item.report_error("backends", "nothing", "the backend servers, for direct calls");
        }
    }
    if (plan.nodes.empty()) {
        root->report_error("nodes", "nothing", "a list of nodes");
    }
    if (plan.targets.empty()) {
        root->report_error("targets", "nothing", "a list of targets");
    }
    return plan;
}

} // namespace savorywheel::load
