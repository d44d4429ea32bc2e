#include <savorywheel/config/name_rules.hpp>
#include <savorywheel/config/yaml_cursor.hpp>
#include <savorywheel/core/duration_text.hpp>
#include <savorywheel/settings/node_settings_reader.hpp>

#include <fmt/format.h>

#include <limits>
#include <optional>
#include <span>

namespace savorywheel {

namespace {

std::uint16_t read_port(const yaml_cursor& ports, std::string_view key)
{
    const auto number = ports.number(key);
    if (number < 1 || number > std::numeric_limits<std::uint16_t>::max()) {
        ports.report_error(key, fmt::format("{}", number), "a port from 1 to 65535");
        return 0;
    }
    return static_cast<std::uint16_t>(number);
}

network_endpoint read_endpoint(const yaml_cursor& cursor, std::string_view key,
                               const std::string& text)
{
    const auto endpoint = parse_endpoint(text);
    if (!endpoint) {
        cursor.report_error(key, fmt::format("\"{}\"", text),
                            "an address and port such as 10.0.0.1:7002");
        return {};
    }
    return *endpoint;
}

std::vector<network_endpoint> read_seeds(const yaml_cursor& cursor)
{
    std::vector<network_endpoint> seeds;
    for (const auto& text : cursor.text_list("seeds")) {
        seeds.push_back(read_endpoint(cursor, "seeds", text));
    }
    return seeds;
}

/** Reads a name that becomes part of an object key. */
std::string read_name(const yaml_cursor& cursor, std::string_view key)
{
    auto name = cursor.text(key);
    if (!name.empty() && !is_key_segment(name)) {
        cursor.report_error(key, fmt::format("\"{}\"", name), std::string{key_segment_rule});
    }
    return name;
}

event_severity read_log_level(const yaml_cursor& cursor)
{
    const auto text = cursor.text_or("log_level", to_string(event_severity::info));
    const auto level = parse_severity(text);
    if (!level) {
        cursor.report_error("log_level", fmt::format("\"{}\"", text), "info, warning or error");
    }
    return level.value_or(event_severity::info);
}

/** Reports duplicate names and keys: an author must identify one person. */
void check_unique(std::span<const operator_key> earlier, const operator_key& entry,
                  const yaml_cursor& item)
{
    for (const auto& other : earlier) {
        if (other.name == entry.name) {
            item.report_error("name", fmt::format("operator {} twice", entry.name.str()),
                              "each operator once");
        }
        if (other.key == entry.key) {
            item.report_error("key", fmt::format("the key of {}", other.name.str()),
                              "a key of its own for each operator");
        }
    }
}

std::vector<operator_key> read_operators(const yaml_cursor& cursor)
{
    std::vector<operator_key> operators;
    for (const auto& item : cursor.map_list("operators")) {
        item.expect_keys({"name", "key"});
        operator_key entry{author_name{read_name(item, "name")}, item.text("key")};
        if (entry.key.size() < min_operator_key_bytes) {
            item.report_error("key", fmt::format("a key of {} bytes", entry.key.size()),
                              fmt::format("at least {} bytes", min_operator_key_bytes));
        }
        check_unique(operators, entry, item);
        operators.push_back(std::move(entry));
    }
    return operators;
}

void check_ports(const yaml_cursor& ports, const node_settings& settings)
{
    if (settings.traffic.port == settings.admin.port) {
        ports.report_error("admin", "the port of traffic", "another port");
    }
    if (settings.peer.port == settings.traffic.port || settings.peer.port == settings.admin.port) {
        ports.report_error("peer", "the port of traffic or admin", "another port");
    }
}

std::optional<network_endpoint> read_optional_endpoint(const yaml_cursor& cursor,
                                                       std::string_view key)
{
    if (!cursor.has(key)) {
        return std::nullopt;
    }
    return read_endpoint(cursor, key, cursor.text(key));
}

/** Reads endpoints that each have their own address. */
void read_listen(const yaml_cursor& listen, node_settings& settings)
{
    listen.expect_keys({"traffic", "admin", "peer", "announcements", "readiness"});
    settings.traffic = read_endpoint(listen, "traffic", listen.text("traffic"));
    settings.admin = read_endpoint(listen, "admin", listen.text("admin"));
    settings.peer = read_endpoint(listen, "peer", listen.text("peer"));
    settings.announcements = read_optional_endpoint(listen, "announcements");
    settings.readiness = read_optional_endpoint(listen, "readiness");
}

std::chrono::milliseconds read_milliseconds(const yaml_cursor& cursor, std::string_view key,
                                            std::chrono::milliseconds fallback)
{
    const auto number = cursor.number_or(key, fallback.count());
    if (number < 0 || number > max_settings_milliseconds) {
        cursor.report_error(key, fmt::format("{}", number),
                            fmt::format("milliseconds from 0 to {}", max_settings_milliseconds));
        return fallback;
    }
    return std::chrono::milliseconds{number};
}

void read_retries(const yaml_cursor& root, node_settings& settings)
{
    if (const auto retries = root.map("retries")) {
        retries->expect_keys({"per_call", "saved_by_mesh"});
        settings.retries.per_call = retries->decimal("per_call");
        settings.retries.saved_by_mesh = retries->decimal("saved_by_mesh");
        if (settings.retries.per_call < 0 || settings.retries.saved_by_mesh < 0) {
            root.report_error("retries", "a number below zero", "numbers of at least zero");
        }
    }
}

/** Reads a number of milliseconds, or a duration with its unit such as 5000ms. */
void read_key_limit(const yaml_cursor& root, node_settings& settings)
{
    constexpr std::string_view key = "key_confirmation_limit_ms";
    if (!root.has(key)) {
        return;
    }
    const auto text = root.text(key);
    const bool has_unit = text.find_first_not_of("0123456789") != std::string::npos;
    const auto limit = parse_duration(has_unit ? text : text + "ms");
    if (!limit || *limit < min_key_confirmation_limit ||
        *limit > std::chrono::milliseconds{max_settings_milliseconds}) {
        root.report_error(key, fmt::format("\"{}\"", text),
                          fmt::format("{} to {} milliseconds, such as 5000 or 5000ms",
                                      min_key_confirmation_limit.count(),
                                      max_settings_milliseconds));
        return;
    }
    settings.key_confirmation_limit = limit;
}

/** More shards than nodes are of no use; this many are enough for 40,000 nodes. */
constexpr std::int64_t max_quota_shards = 1024;
/** A shorter one has less than the messages between nodes take. */
constexpr std::chrono::milliseconds min_quota_window{1000};
/** As for the limits of tenants. */
constexpr double max_quota_excess = 1e9;

void read_quota_window(const yaml_cursor& quota, quota_settings& settings)
{
    const auto text = quota.text("window");
    const auto window = parse_duration(text);
    if (!window || *window < min_quota_window) {
        quota.report_error(
            "window", fmt::format("\"{}\"", text),
            fmt::format("a time of at least {} ms, such as 5s", min_quota_window.count()));
        return;
    }
    settings.window = *window;
}

double read_excess(const yaml_cursor& quota, std::string_view key, double fallback)
{
    if (!quota.has(key)) {
        return fallback;
    }
    const auto number = quota.decimal(key);
    if (!(number >= 0 && number <= max_quota_excess)) {
        quota.report_error(key, fmt::format("{}", number), "a number from 0 to 1e9");
        return fallback;
    }
    return number;
}

void read_quota(const yaml_cursor& root, quota_settings& settings)
{
    const auto quota = root.map("quota");
    if (!quota) {
        return;
    }
    quota->expect_keys({"shards", "window", "over", "slack"});
    const auto shards = quota->number_or("shards", settings.shards);
    if (shards < 1 || shards > max_quota_shards) {
        quota->report_error("shards", fmt::format("{}", shards),
                            fmt::format("a number from 1 to {}", max_quota_shards));
    }
    else {
        settings.shards = static_cast<std::uint32_t>(shards);
    }
    if (quota->has("window")) {
        read_quota_window(*quota, settings);
    }
    settings.over = read_excess(*quota, "over", settings.over);
    settings.slack = read_excess(*quota, "slack", settings.slack);
}

std::uint64_t read_amount(const yaml_cursor& cursor, std::string_view key, std::uint64_t fallback,
                          std::uint64_t most)
{
    const auto number = cursor.number_or(key, static_cast<std::int64_t>(fallback));
    if (number < 1 || static_cast<std::uint64_t>(number) > most) {
        cursor.report_error(key, fmt::format("{}", number), fmt::format("from 1 to {}", most));
        return fallback;
    }
    return static_cast<std::uint64_t>(number);
}

void read_callers(const yaml_cursor& root, caller_resources& callers)
{
    constexpr std::size_t kib = 1024;
    constexpr std::uint64_t max_connections = 100'000;
    constexpr std::uint64_t max_memory_kib = 64UL * 1024UL * 1024UL;
    constexpr std::uint64_t max_body_kib = caller_resources{}.body_bytes / kib;
    if (const auto map = root.map("callers")) {
        map->expect_keys({"connections", "memory_kib", "body_kib"});
        callers.connections = static_cast<unsigned>(
            read_amount(*map, "connections", callers.connections, max_connections));
        callers.memory_bytes =
            kib * read_amount(*map, "memory_kib", callers.memory_bytes / kib, max_memory_kib);
        callers.body_bytes =
            kib * read_amount(*map, "body_kib", callers.body_bytes / kib, max_body_kib);
    }
}

void read_addresses(const yaml_cursor& root, node_settings& settings)
{
    if (const auto listen = root.map("listen")) {
        read_listen(*listen, settings);
        return;
    }
    const auto address = root.text("address");
    if (!address.empty() && !parse_endpoint(address + ":1")) {
        root.report_error("address", fmt::format("\"{}\"", address),
                          "an IP number such as 10.0.0.1");
    }
    if (const auto ports = root.map("ports")) {
        ports->expect_keys({"traffic", "admin", "peer"});
        settings.traffic = {address, read_port(*ports, "traffic")};
        settings.admin = {address, read_port(*ports, "admin")};
        settings.peer = {address, read_port(*ports, "peer")};
        check_ports(*ports, settings);
    }
    else if (!root.has("ports")) {
        root.report_error("ports", "nothing", "a map with traffic, admin and peer");
    }
}

} // namespace

node_settings read_node_settings(std::string_view text, findings& report)
{
    node_settings settings;
    position_index places;
    if (text.size() > max_settings_bytes) {
        report.add({}, fmt::format("settings of {} bytes", text.size()),
                   fmt::format("at most {} bytes", max_settings_bytes));
        return settings;
    }
    const auto root = yaml_cursor::parse(text, places, report);
    if (!root) {
        return settings;
    }
    root->expect_keys({"name",
                       "failure_domain",
                       "region",
                       "address",
                       "ports",
                       "store",
                       "seeds",
                       "operators",
                       "log_level",
                       "listen",
                       "caller_service",
                       "backend_timeout_ms",
                       "stop_notice_ms",
                       "stop_limit_ms",
                       "stop_grace_ms",
                       "idle_timeout_ms",
                       "retries",
                       "key_confirmation_limit_ms",
                       "quota",
                       "callers",
                       "every_node_watches"});
    settings.name = node_id{read_name(*root, "name")};
    settings.domain = failure_domain{read_name(*root, "failure_domain")};
    settings.region = region_name{read_name(*root, "region")};
    settings.log_level = read_log_level(*root);
    read_addresses(*root, settings);
    settings.store = read_endpoint(*root, "store", root->text("store"));
    settings.seeds = read_seeds(*root);
    settings.operators = read_operators(*root);
    settings.caller_service = service_name{root->text_or("caller_service", "")};
    settings.backend_timeout =
        read_milliseconds(*root, "backend_timeout_ms", settings.backend_timeout);
    settings.stop_notice = read_milliseconds(*root, "stop_notice_ms", settings.stop_notice);
    settings.stop_limit = read_milliseconds(*root, "stop_limit_ms", settings.stop_limit);
    if (root->has("stop_grace_ms")) {
        settings.stop_grace = read_milliseconds(*root, "stop_grace_ms", settings.stop_limit);
    }
    settings.idle_timeout = std::chrono::ceil<std::chrono::seconds>(
        read_milliseconds(*root, "idle_timeout_ms", settings.idle_timeout));
    read_retries(*root, settings);
    read_key_limit(*root, settings);
    read_quota(*root, settings.quota);
    read_callers(*root, settings.callers);
    settings.every_node_watches = root->bool_or("every_node_watches", false);
    return settings;
}

} // namespace savorywheel
