#include <savorywheel/admin/override_request.hpp>
#include <savorywheel/encoding/codec.hpp>

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <support/local_mesh.hpp>
#include <support/wait_until.hpp>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <fstream>
#include <stdexcept>

namespace savorywheel::test {

namespace {

/** Lowest port of all meshes; checkouts that run tests at the same time need different ones. */
std::uint16_t port_base()
{
    constexpr std::uint16_t default_base = 7000;
    const char* text = std::getenv("SAVORYWHEEL_TEST_PORT_BASE");
    return text == nullptr ? default_base : static_cast<std::uint16_t>(std::stoul(text));
}

const std::uint16_t traffic_port = port_base();
const auto admin_port = static_cast<std::uint16_t>(traffic_port + 1);
const auto peer_port = static_cast<std::uint16_t>(traffic_port + 2);
const auto readiness_port = static_cast<std::uint16_t>(traffic_port + 3);
const auto backend_port = static_cast<std::uint16_t>(traffic_port + 1000);
const auto platform_port = static_cast<std::uint16_t>(traffic_port + 2000);
constexpr std::size_t seed_count = 3;
constexpr std::chrono::milliseconds request_timeout{5000};

std::filesystem::path make_temporary_folder()
{
    auto pattern = (std::filesystem::temp_directory_path() / "savorywheel-XXXXXX").string();
    if (::mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error{"cannot create a temporary folder for the test"};
    }
    return pattern;
}

} // namespace

local_mesh::local_mesh(unsigned network, std::vector<mesh_member> members)
    : network_{network}, members_{std::move(members)}, folder_{make_temporary_folder()},
      nodes_(members_.size()), backends_(members_.size())
{
    start_platform();
    for (std::size_t i = 0; i < members_.size(); ++i) {
        start_node(i);
        if (!members_[i].service.empty()) {
            start_backend(i);
        }
    }
}

local_mesh::~local_mesh()
{
    backends_.clear();
    nodes_.clear();
    platform_.reset();
    if (::testing::Test::HasFailure()) {
        fmt::print(stderr, "logs of the processes: {}\n", folder_.string());
        return;
    }
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
}

void local_mesh::start_node(std::size_t index)
{
    const auto path = folder_ / (members_.at(index).name + ".yaml");
    std::ofstream{path} << settings_text(index);
    const std::array arguments{std::string{"--settings"}, path.string()};
    nodes_.at(index) = std::make_unique<child_process>("savorywheel-node", arguments,
                                                       log_path(members_.at(index).name));
}

void local_mesh::start_backend(std::size_t index)
{
    const auto& member = members_.at(index);
    const std::array arguments{std::string{"--service"},      member.service,
                               std::string{"--version-name"}, member.version,
                               std::string{"--listen"},       to_string(backend_endpoint(index)),
                               std::string{"--node"},         to_string(admin_endpoint(index)),
                               std::string{"--slots"},        std::to_string(member.slots),
                               std::string{"--executions"},   (folder_ / "executions").string()};
    backends_.at(index) = std::make_unique<child_process>("standin-backend", arguments,
                                                          log_path(member.name + "-backend"));
}

void local_mesh::start_platform()
{
    const std::array arguments{std::string{"--listen"}, to_string(platform_endpoint())};
    platform_ =
        std::make_unique<child_process>("standin-platform", arguments, log_path("platform"));
    const auto is_reachable = [this] {
        return static_cast<bool>(
            client_.send(platform_endpoint(), {"GET", "/metrics", {}, {}}, request_timeout));
    };
    if (!wait_until(is_reachable)) {
        throw std::runtime_error{"the platform stand-in does not respond"};
    }
}

outcome<change_report> local_mesh::apply(std::size_t index, const std::string& text)
{
    const auto response = client_.send(
        admin_endpoint(index), {"PUT", "/config", {{"x-savorywheel-key", test_operator_key}}, text},
        request_timeout);
    if (!response) {
        return response.reason();
    }
    return decode_json<change_report>(response->body);
}

outcome<change_report> local_mesh::set_override(std::size_t index, const std::string& service,
                                                const std::string& version,
                                                const std::string& reason)
{
    const override_request expected{{{version_name{version}, weight_sum_permille}}, reason};
    const auto response = client_.send(admin_endpoint(index),
                                       {"PUT",
                                        "/override/" + service,
                                        {{"x-savorywheel-key", test_operator_key}},
                                        encode_json(expected)},
                                       request_timeout);
    if (!response) {
        return response.reason();
    }
    return decode_json<change_report>(response->body);
}

outcome<node_state_dump> local_mesh::state(std::size_t index)
{
    const auto response =
        client_.send(admin_endpoint(index), {"GET", "/state", {}, {}}, request_timeout);
    if (!response) {
        return response.reason();
    }
    return decode_json<node_state_dump>(response->body);
}

outcome<status_report> local_mesh::status(std::size_t index)
{
    const auto response =
        client_.send(admin_endpoint(index), {"GET", "/status", {}, {}}, request_timeout);
    if (!response) {
        return response.reason();
    }
    return decode_json<status_report>(response->body);
}

outcome<http_response> local_mesh::call(std::size_t index, const std::string& service,
                                        http_request request)
{
    request.headers.push_back({"Host", service});
    return client_.send(traffic_endpoint(index), request, request_timeout);
}

void local_mesh::set_platform_fault(const std::string& query)
{
    const auto response =
        client_.send(platform_endpoint(), {"PUT", "/fault?" + query, {}, {}}, request_timeout);
    if (!response) {
        throw std::runtime_error{"the platform stand-in does not respond"};
    }
}

void local_mesh::control_backend(std::size_t index, const std::string& query)
{
    const auto response = client_.send(backend_endpoint(index),
                                       {"PUT", "/control?" + query, {}, {}}, request_timeout);
    if (!response) {
        throw std::runtime_error{"the backend stand-in does not respond"};
    }
}

bool local_mesh::wait_for_version(config_version version)
{
    for (std::size_t i = 0; i < members_.size(); ++i) {
        const auto has_version = [this, i, version] {
            const auto dump = state(i);
            return dump && dump->version >= version;
        };
        if (!wait_until(has_version)) {
            return false;
        }
    }
    return true;
}

bool local_mesh::wait_for_members()
{
    const auto expected = std::ranges::count_if(
        members_, [](const mesh_member& member) { return !member.service.empty(); });
    for (std::size_t i = 0; i < members_.size(); ++i) {
        const auto sees_all_backends = [this, i, expected] {
            const auto dump = state(i);
            return dump && std::ranges::count_if(dump->members, [](const member_update& item) {
                               return item.status == member_status::alive &&
                                      item.record.state == server_state::serving;
                           }) == expected;
        };
        if (!wait_until(sees_all_backends)) {
            return false;
        }
    }
    return true;
}

network_endpoint local_mesh::admin_endpoint(std::size_t index) const
{
    return {address(index), admin_port};
}

network_endpoint local_mesh::traffic_endpoint(std::size_t index) const
{
    return {address(index), traffic_port};
}

network_endpoint local_mesh::peer_endpoint(std::size_t index) const
{
    return {address(index), peer_port};
}

network_endpoint local_mesh::readiness_endpoint(std::size_t index) const
{
    return {address(index), readiness_port};
}

network_endpoint local_mesh::platform_endpoint() const
{
    return {fmt::format("127.{}.250.1", network_), platform_port};
}

network_endpoint local_mesh::backend_endpoint(std::size_t index) const
{
    return {address(index), backend_port};
}

std::string local_mesh::address(std::size_t index) const
{
    constexpr std::size_t addresses_per_block = 200;
    return fmt::format("127.{}.{}.{}", network_, index / addresses_per_block,
                       index % addresses_per_block + 1);
}

std::string local_mesh::settings_text(std::size_t index) const
{
    const auto& member = members_.at(index);
    auto text = fmt::format("name: {}\nfailure_domain: {}\nregion: {}\n"
                            "listen: {{traffic: \"{}\", admin: \"{}\", peer: \"{}\", "
                            "readiness: \"{}\"}}\nstore: {}\n"
                            "operators:\n  - {{name: tester, key: {}}}\nseeds:\n",
                            member.name, member.domain, member.region,
                            to_string(traffic_endpoint(index)), to_string(admin_endpoint(index)),
                            to_string(peer_endpoint(index)), to_string(readiness_endpoint(index)),
                            to_string(platform_endpoint()), test_operator_key);
    for (std::size_t i = 0; i < std::min(seed_count, members_.size()); ++i) {
        text += fmt::format("  - {}\n", to_string(peer_endpoint(i)));
    }
    return text + member.settings;
}

std::string local_mesh::log_path(const std::string& name) const
{
    return (folder_ / (name + ".log")).string();
}

} // namespace savorywheel::test
