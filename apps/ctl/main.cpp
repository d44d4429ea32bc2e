#include <savorywheel/admin/apply_report.hpp>
#include <savorywheel/encoding/codec.hpp>
#include <savorywheel/http/ulfius_http_client.hpp>

#include <CLI/CLI.hpp>
#include <common/read_file.hpp>

#include <iostream>
#include <string>

using namespace savorywheel;

namespace {

constexpr int exit_failed = 1;
constexpr int exit_usage = 2;
constexpr int exit_refused = 3;
constexpr int exit_unknown = 4;
constexpr std::chrono::milliseconds request_timeout{10'000};

int print_report(const apply_report& report)
{
    std::cout << report.outcome << " version " << report.version.number << " operation "
              << report.operation.str() << ' ' << report.reason << '\n';
    for (const auto& item : report.findings) {
        std::cout << item.place.line << ':' << item.place.column << ": found " << item.found
                  << "; expected " << item.expected << '\n';
    }
    if (report.outcome == "accepted") {
        return 0;
    }
    return report.outcome == "unknown" ? exit_unknown : exit_refused;
}

int apply(const network_endpoint& node, const std::string& path, const std::string& key)
{
    const auto text = read_file(path);
    if (!text) {
        std::cerr << path << ": cannot be read\n";
        return exit_usage;
    }
    ulfius_http_client client;
    const auto response =
        client.send(node, {"PUT", "/config", {{"x-savorywheel-key", key}}, *text}, request_timeout);
    if (!response) {
        std::cerr << response.reason().message << '\n';
        return exit_unknown;
    }
    const auto report = decode_json<apply_report>(response->body);
    if (!report) {
        std::cerr << response->body;
        return exit_failed;
    }
    return print_report(*report);
}

int show(const network_endpoint& node, const std::string& target)
{
    ulfius_http_client client;
    const auto response = client.send(node, {"GET", target, {}, {}}, request_timeout);
    if (!response) {
        std::cerr << response.reason().message << '\n';
        return exit_failed;
    }
    std::cout << response->body << '\n';
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app{"savorywheelctl: change and inspect the mesh"};
    std::string node = "127.0.0.1:7001";
    std::string path;
    std::string key;
    app.add_option("--node", node, "Administration address and port of any node")
        ->capture_default_str();
    auto* apply_command = app.add_subcommand("apply", "Apply an edited text");
    apply_command->add_option("file", path, "The text")->required();
    apply_command->add_option("--key", key, "Operator key")->envname("SAVORYWHEEL_KEY");
    auto* status_command = app.add_subcommand("status", "Show what is in force");
    auto* state_command = app.add_subcommand("state", "Dump the state of the node");
    app.require_subcommand(1);
    CLI11_PARSE(app, argc, argv);
    const auto endpoint = parse_endpoint(node);
    if (!endpoint) {
        std::cerr << "not an address and port: " << node << '\n';
        return exit_usage;
    }
    if (apply_command->parsed()) {
        return apply(*endpoint, path, key);
    }
    if (status_command->parsed()) {
        return show(*endpoint, "/status");
    }
    return state_command->parsed() ? show(*endpoint, "/state") : exit_usage;
}
