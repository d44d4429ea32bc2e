#include <savorywheel/http/http_status.hpp>

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <platform/proxied_mesh.hpp>
#include <support/raw_http_connection.hpp>
#include <support/wait_until.hpp>
#include <unistd.h>

#include <array>
#include <ctime>
#include <fstream>
#include <utility>

namespace savorywheel::platform::test {

namespace {

using namespace std::chrono_literals;
using savorywheel::test::child_process;
using savorywheel::test::raw_http_connection;
using savorywheel::test::wait_until;

constexpr int region_count = 3;
constexpr int domain_count = 6;
constexpr int nodes_per_block = 250;

json configuration(int version, const std::vector<std::string>& prefixes)
{
    json rules = json::array();
    for (const auto& prefix : prefixes) {
        rules.push_back({{"name", prefix},
                         {"path-prefix", prefix},
                         {"kind", "idempotent"},
                         {"timeout", "1s"},
                         {"target-latency", "1s"},
                         {"priority", 1},
                         {"max-attempts", 1},
                         {"service", "desk"}});
    }
    return {{"spec",
             {{"version", version},
              {"services", {{{"name", "desk"}, {"health-path", "/healthz"}}}},
              {"limits", {{"idle-timeout", "15000ms"}}},
              {"virtual-hosts", {{{"host", "desk.example"}, {"path-rules", rules}}}}}}};
}

/** Reads "2026-12-06 06:18:00,984" in a log line, in local time. */
std::optional<std::chrono::system_clock::time_point> time_of(const std::string& line)
{
    constexpr std::string_view key = R"("timestamp": ")";
    constexpr std::size_t seconds_length = 19;
    const auto start = line.find(key);
    std::tm fields{};
    if (start == std::string::npos ||
        ::strptime(line.c_str() + start + key.size(), "%Y-%m-%d %H:%M:%S", &fields) == nullptr) {
        return std::nullopt;
    }
    fields.tm_isdst = -1;
    const auto millis = std::stoi(line.substr(start + key.size() + seconds_length + 1, 3));
    return std::chrono::system_clock::from_time_t(std::mktime(&fields)) +
           std::chrono::milliseconds{millis};
}

} // namespace

proxied_mesh::proxied_mesh(int node_count, int network, std::string settings)
    : network_{network}, settings_{std::move(settings)},
      folder_{std::filesystem::temp_directory_path() /
              fmt::format("savorywheel-proxied-{}", ::getpid())}
{
    store_.put("config", "main", configuration(5, {"/first/"}));
    std::filesystem::create_directories(folder_);
    for (int node = 0; node < node_count; ++node) {
        nodes_.push_back(start_node(node));
    }
    for (int node = 0; node < node_count; ++node) {
        EXPECT_TRUE(wait_until([this, node] { return status_of(node, "/none/x") == 404; }, 30s))
            << node;
    }
}

proxied_mesh::~proxied_mesh()
{
    nodes_.clear();
    std::filesystem::remove_all(folder_);
}

std::filesystem::path proxied_mesh::log_of(int node) const
{
    return folder_ / fmt::format("n{:03}.log", node);
}

std::unique_ptr<child_process> proxied_mesh::start_node(int node) const
{
    const auto path = folder_ / fmt::format("n{:03}.yaml", node);
    const auto address = address_of(node);
    std::ofstream{path} << fmt::format(
        "name: n{0:03}\nfailure_domain: domain-{1}\nregion: region-{2}\n"
        "listen: {{traffic: \"{3}:8629\", admin: \"{3}:7615\", peer: \"{3}:7600\", "
        "announcements: \"{3}:8620\", readiness: \"{3}:8625\"}}\n"
        "caller_service: desk\nstore: \"{4}\"\nretries: {{per_call: 0.1, saved_by_mesh: 64}}\n{5}",
        node, node % domain_count, node % region_count, address, to_string(proxy_.endpoint()),
        settings_);
    const std::array arguments{std::string{"--settings"}, path.string()};
    return std::make_unique<child_process>("savorywheel-platform-node", arguments,
                                           log_of(node).string());
}

void proxied_mesh::kill_node(int node)
{
    nodes_.at(static_cast<std::size_t>(node)).reset();
}

void proxied_mesh::add_route(int version, const std::string& prefix)
{
    store_.put("config", "main", configuration(version, {"/first/", prefix}));
}

void proxied_mesh::set_tenant(int version, const std::string& api_key)
{
    auto document = configuration(version, {"/first/", "/open/"});
    auto& spec = document["spec"];
    spec["virtual-hosts"][0]["path-rules"][1]["public"] = true;
    const json tenant{{"name", "clinic"}, {"api-keys", json::array({api_key})}};
    spec["tenants"] = json::array({tenant});
    store_.put("config", "main", document);
}

std::pair<int, std::string> proxied_mesh::request_with_key(int node, const std::string& path,
                                                           const std::string& api_key) const
{
    raw_http_connection connection{{address_of(node), 8629}};
    const auto request = fmt::format(
        "GET {} HTTP/1.1\r\nHost: desk.example\r\nSavorywheel-Key: {}\r\n\r\n", path, api_key);
    const auto status = connection.send(request) ? connection.read_status() : 0;
    return {status, connection.body()};
}

bool proxied_mesh::has_entry(int node)
{
    const auto target = fmt::format("/objects/nodes/n{:03}", node);
    return store_.handle({"GET", target, {}, {}}).status == status_ok;
}

void proxied_mesh::restart_node(int node)
{
    nodes_.at(static_cast<std::size_t>(node)) = start_node(node);
}

int proxied_mesh::announce_server(int node, const std::string& identity, const std::string& state,
                                  std::uint64_t sequence) const
{
    const json body{{"service", "desk"},
                    {"address", fmt::format("{}:8080", address_of(node))},
                    {"zone", fmt::format("domain-{}", node % domain_count)},
                    {"version", "v1"},
                    {"max-concurrency", 4},
                    {"state", state},
                    {"warmup-left", "0ms"},
                    {"sequence", sequence},
                    {"born", 1000}};
    return call_control(node, "PUT", identity, body.dump());
}

int proxied_mesh::deregister_server(int node, const std::string& identity) const
{
    return call_control(node, "DELETE", identity, {});
}

int proxied_mesh::call_control(int node, const std::string& method, const std::string& identity,
                               const std::string& body) const
{
    raw_http_connection connection{{address_of(node), 8620}};
    const auto request = fmt::format("{} /instances/{} HTTP/1.1\r\nHost: control\r\nContent-Type: "
                                     "application/json\r\nContent-Length: {}\r\n\r\n{}",
                                     method, identity, body.size(), body);
    return connection.send(request) ? connection.read_status() : 0;
}

void proxied_mesh::add_tenant(int version, double rate, double burst)
{
    auto document = configuration(version, {"/first/"});
    document["spec"]["tenants"] = {
        {{"name", "t"}, {"api-keys", {"key-1"}}, {"rate-per-s", rate}, {"burst", burst}}};
    store_.put("config", "main", document);
}

std::size_t proxied_mesh::count_events(const std::string& event) const
{
    std::size_t count = 0;
    for (int node = 0; node < node_count(); ++node) {
        std::ifstream log{log_of(node)};
        for (std::string line; std::getline(log, line);) {
            count += line.find(event) != std::string::npos ? 1 : 0;
        }
    }
    return count;
}

int proxied_mesh::status_with_key(int node, const std::string& path) const
{
    raw_http_connection connection{{address_of(node), 8629}};
    const auto request = fmt::format(
        "GET {} HTTP/1.1\r\nHost: desk.example\r\nSavorywheel-Key: key-1\r\n\r\n", path);
    return connection.send(request) ? connection.read_status() : 0;
}

std::string proxied_mesh::address_of(int node) const
{
    return fmt::format("127.{}.{}.{}", network_, node / nodes_per_block,
                       node % nodes_per_block + 1);
}

int proxied_mesh::status_of(int node, const std::string& path) const
{
    raw_http_connection connection{{address_of(node), 8629}};
    const auto request = fmt::format("GET {} HTTP/1.1\r\nHost: desk.example\r\n\r\n", path);
    return connection.send(request) ? connection.read_status() : 0;
}

std::uint64_t proxied_mesh::metric(int node, const std::string& name) const
{
    raw_http_connection connection{{address_of(node), 7615}};
    if (!connection.send("GET /metrics HTTP/1.1\r\nHost: admin\r\n\r\n") ||
        connection.read_status() != 200) {
        return 0;
    }
    const auto key = "\n" + name + " ";
    const auto position = connection.body().find(key);
    return position == std::string::npos
               ? 0
               : std::stoull(connection.body().substr(position + key.size(), 20));
}

std::uint64_t proxied_mesh::sum_of_metric(const std::string& name) const
{
    std::uint64_t sum = 0;
    for (int node = 0; node < node_count(); ++node) {
        if (nodes_.at(static_cast<std::size_t>(node)) != nullptr) {
            sum += metric(node, name);
        }
    }
    return sum;
}

int proxied_mesh::count_refusals(const std::string& path) const
{
    int refusals = 0;
    for (int node = 0; node < node_count(); ++node) {
        if (nodes_.at(static_cast<std::size_t>(node)) != nullptr) {
            refusals += status_of(node, path) == 404 ? 1 : 0;
        }
    }
    return refusals;
}

std::optional<std::chrono::system_clock::time_point> proxied_mesh::in_force_at(int node,
                                                                               int version) const
{
    constexpr std::string_view event = "SW2001 ";
    const auto detail = fmt::format("version {},", version);
    std::ifstream log{log_of(node)};
    for (std::string line; std::getline(log, line);) {
        if (line.find(event) != std::string::npos && line.find(detail) != std::string::npos) {
            return time_of(line);
        }
    }
    return std::nullopt;
}

} // namespace savorywheel::platform::test
