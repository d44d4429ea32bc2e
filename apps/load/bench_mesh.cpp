#include <savorywheel/admin/node_state_dump.hpp>
#include <savorywheel/admin/status_report.hpp>
#include <savorywheel/core/system_clock_source.hpp>
#include <savorywheel/encoding/codec.hpp>

#include <fmt/format.h>
#include <load/bench_mesh.hpp>
#include <load/wait_until.hpp>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <stdexcept>
#include <utility>

namespace savorywheel::load {

namespace {

constexpr std::chrono::milliseconds request_timeout{10'000};
constexpr std::chrono::seconds ready_timeout{90};
constexpr std::chrono::milliseconds ready_check_period{250};
constexpr std::size_t seed_count = 3;
constexpr unsigned admin_offset = 1;
constexpr unsigned peer_offset = 2;
constexpr unsigned backend_offset = 1000;
constexpr unsigned platform_offset = 2000;
constexpr const char* operator_key_text = "a-key-for-measurements";

void remove_logs(const std::filesystem::path& folder)
{
    for (const auto& item : std::filesystem::directory_iterator{folder}) {
        if (item.path().extension() == ".log") {
            std::filesystem::remove(item.path());
        }
    }
}

std::string address_of(unsigned network, std::size_t region, std::size_t position)
{
    return fmt::format("127.{}.{}.{}", network, region, position + 1);
}

} // namespace

bench_mesh::bench_mesh(const measure_options& options, deployment layout)
    : options_{options}, layout_{std::move(layout)}
{
    const auto count = options_.nodes > 0 ? options_.nodes : layout_.node_count();
    std::vector<std::size_t> in_region(layout_.domains.size());
    for (std::size_t i = 0; i < count; ++i) {
        const auto& domain = layout_.domains[i % layout_.domains.size()];
        const auto& service =
            layout_.services[i / layout_.domains.size() % layout_.services.size()];
        const auto address =
            address_of(options_.network, domain.region_index, in_region[domain.region_index]++);
        members_.push_back({fmt::format("node-{}", i),
                            domain,
                            service,
                            "v1",
                            {address, port(0)},
                            {address, port(admin_offset)},
                            {address, port(peer_offset)},
                            {address, port(backend_offset)}});
    }
    std::filesystem::create_directories(options_.out);
    remove_logs(options_.out);
    platform_ = start("standin-platform", {"--listen", to_string(platform())}, "platform");
    const auto platform_responds = [this] { return !platform_metrics().values.empty(); };
    static_cast<void>(wait_until(platform_responds, request_timeout));
    nodes_.resize(count);
    backends_.resize(count);
    for (std::size_t i = 0; i < count; ++i) {
        start_node(i);
        start_backend(i);
    }
}

bench_mesh::~bench_mesh()
{
    for (auto& node : nodes_) {
        if (node) {
            node->signal(SIGKILL);
        }
    }
    backends_.clear();
    nodes_.clear();
    platform_.reset();
}

bool bench_mesh::wait_until_ready()
{
    for (const auto& member : members_) {
        const auto sees_all_members = [this, &member] {
            const auto response =
                client_.send(member.admin, {"GET", "/state", {}, {}}, request_timeout);
            if (!response) {
                return false;
            }
            const auto dump = decode_json<node_state_dump>(response->body);
            const auto serving = [this](const member_update& item) {
                return std::ranges::any_of(members_, [&item](const bench_member& expected) {
                    return item.record.id.str() == expected.name &&
                           item.record.version.str() == expected.version &&
                           item.status == member_status::alive &&
                           item.record.state == server_state::serving;
                });
            };
            return dump && std::ranges::count_if(dump->members, serving) ==
                               static_cast<std::ptrdiff_t>(members_.size());
        };
        if (!wait_until(sees_all_members, ready_timeout, ready_check_period)) {
            return false;
        }
    }
    return true;
}

outcome<change_report> bench_mesh::apply(std::size_t node, const std::string& text)
{
    const http_request request{"PUT", "/config", {{"x-savorywheel-key", operator_key_text}}, text};
    const auto response = client_.send(members_.at(node).admin, request, request_timeout);
    if (!response) {
        return response.reason();
    }
    return decode_json<change_report>(response->body);
}

outcome<http_response> bench_mesh::send_operator_request(const std::string& method,
                                                         const std::string& target,
                                                         const std::string& body)
{
    const http_request request{method,
                               target,
                               {{"x-savorywheel-key", operator_key_text},
                                {"x-savorywheel-base", std::to_string(current_version().number)}},
                               body};
    return client_.send(members_.front().admin, request, request_timeout);
}

metric_snapshot bench_mesh::node_metrics(std::size_t node)
{
    return metrics(members_.at(node).admin);
}

metric_snapshot bench_mesh::platform_metrics()
{
    return metrics(platform());
}

network_endpoint bench_mesh::platform() const
{
    constexpr std::size_t platform_position = 249;
    return {address_of(options_.network, 0, platform_position), port(platform_offset)};
}

std::filesystem::path bench_mesh::node_log(std::size_t node) const
{
    return std::filesystem::path{options_.out} / (members_.at(node).name + ".log");
}

std::unique_ptr<standin::child_process> bench_mesh::start(const std::string& program,
                                                          std::vector<std::string> arguments,
                                                          const std::string& name)
{
    const auto log = std::filesystem::path{options_.out} / (name + ".log");
    return std::make_unique<standin::child_process>(options_.programs + "/" + program, arguments,
                                                    log.string());
}

void bench_mesh::replace_backend(std::size_t index, const std::string& version)
{
    backends_.at(index)->signal(SIGTERM);
    static_cast<void>(backends_.at(index)->wait());
    members_.at(index).version = version;
    start_backend(index);
}

void bench_mesh::restart_domain(const std::string& domain)
{
    std::vector<std::size_t> indices;
    for (std::size_t i = 0; i < members_.size(); ++i) {
        if (members_[i].domain.name == domain) {
            indices.push_back(i);
            nodes_[i]->signal(SIGKILL);
        }
    }
    for (const auto i : indices) {
        static_cast<void>(nodes_[i]->wait());
    }
    for (const auto i : indices) {
        start_node(i);
    }
}

void bench_mesh::start_node(std::size_t index)
{
    const auto& member = members_[index];
    const auto path = std::filesystem::path{options_.out} / (member.name + ".yaml");
    std::ofstream{path} << settings_text(member);
    nodes_[index] = start("standin-node",
                          {"--settings", path.string(), "--region-delay-ms",
                           std::to_string(options_.region_delay_ms)},
                          member.name);
}

void bench_mesh::start_backend(std::size_t index)
{
    const auto& member = members_[index];
    backends_[index] = start("standin-backend",
                             {"--service", member.service, "--version-name", member.version,
                              "--listen", to_string(member.backend), "--node",
                              to_string(member.admin), "--slots", std::to_string(layout_.slots)},
                             member.name + "-backend");
}

std::string bench_mesh::settings_text(const bench_member& member) const
{
    auto text = fmt::format("name: {}\nfailure_domain: {}\nregion: {}\naddress: {}\n"
                            "ports: {{traffic: {}, admin: {}, peer: {}}}\nstore: {}\n"
                            "operators:\n  - {{name: measurement, key: {}}}\nseeds:\n",
                            member.name, member.domain.name, member.domain.region,
                            member.peer.address, member.traffic.port, member.admin.port,
                            member.peer.port, to_string(platform()), operator_key_text);
    for (std::size_t i = 0; i < std::min(seed_count, members_.size()); ++i) {
        text += fmt::format("  - {}\n", to_string(members_[i].peer));
    }
    return text;
}

config_version bench_mesh::current_version()
{
    const auto response =
        client_.send(members_.front().admin, {"GET", "/status", {}, {}}, request_timeout);
    const auto report = response ? decode_json<status_report>(response->body)
                                 : outcome<status_report>{response.reason()};
    return report ? report->version : config_version{};
}

std::uint16_t bench_mesh::port(unsigned offset) const noexcept
{
    return static_cast<std::uint16_t>(options_.port_base + offset);
}

metric_snapshot bench_mesh::metrics(const network_endpoint& server)
{
    const auto response = client_.send(server, {"GET", "/metrics", {}, {}}, request_timeout);
    return parse_metrics(response ? response->body : std::string{}, system_clock_source{}.now());
}

} // namespace savorywheel::load
