#include <savorywheel/config/yaml_cursor.hpp>
#include <savorywheel/settings/node_settings_reader.hpp>

#include <fmt/format.h>

#include <limits>
#include <optional>

namespace savorywheel {

namespace {

std::uint16_t read_port(const yaml_cursor& ports, std::string_view key)
{
    const auto number = ports.number(key);
    if (number < 1 || number > std::numeric_limits<std::uint16_t>::max()) {
        ports.fault(key, fmt::format("{}", number), "a port from 1 to 65535");
        return 0;
    }
    return static_cast<std::uint16_t>(number);
}

network_endpoint read_endpoint(const yaml_cursor& cursor, std::string_view key,
                               const std::string& text)
{
    const auto endpoint = parse_endpoint(text);
    if (!endpoint) {
        cursor.fault(key, fmt::format("\"{}\"", text), "an address and port such as 10.0.0.1:7002");
        return {};
    }
    return *endpoint;
}

std::vector<network_endpoint> read_seeds(const yaml_cursor& cursor)
{
    std::vector<network_endpoint> seeds;
    for (const auto& text : cursor.texts("seeds")) {
        seeds.push_back(read_endpoint(cursor, "seeds", text));
    }
    return seeds;
}

std::vector<operator_key> read_operators(const yaml_cursor& cursor)
{
    std::vector<operator_key> operators;
    for (const auto& item : cursor.maps("operators")) {
        item.expect_keys({"name", "key"});
        operator_key entry{author_name{item.text("name")}, item.text("key")};
        if (entry.key.size() < min_operator_key_bytes) {
            item.fault("key", fmt::format("a key of {} bytes", entry.key.size()),
                       fmt::format("at least {} bytes", min_operator_key_bytes));
        }
        operators.push_back(std::move(entry));
    }
    return operators;
}

void read_addresses(const yaml_cursor& root, node_settings& settings)
{
    const auto address = root.text("address");
    if (const auto ports = root.map("ports")) {
        ports->expect_keys({"traffic", "admin", "peer"});
        settings.traffic = {address, read_port(*ports, "traffic")};
        settings.admin = {address, read_port(*ports, "admin")};
        settings.peer = {address, read_port(*ports, "peer")};
    }
    else if (!root.has("ports")) {
        root.fault("ports", "nothing", "a map with traffic, admin and peer");
    }
}

} // namespace

node_settings read_node_settings(std::string_view text, findings& report)
{
    node_settings settings;
    place_index places;
    const auto root = yaml_cursor::parse(text, places, report);
    if (!root) {
        return settings;
    }
    root->expect_keys(
        {"name", "failure_domain", "region", "address", "ports", "store", "seeds", "operators"});
    settings.name = node_id{root->text("name")};
    settings.domain = failure_domain{root->text("failure_domain")};
    settings.region = region_name{root->text("region")};
    read_addresses(*root, settings);
    settings.store = read_endpoint(*root, "store", root->text("store"));
    settings.seeds = read_seeds(*root);
    settings.operators = read_operators(*root);
    return settings;
}

} // namespace savorywheel
