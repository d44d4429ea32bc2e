#include <savorywheel/core/seeded_random.hpp>
#include <savorywheel/http/curl_http_client.hpp>
#include <savorywheel/http/http_server.hpp>
#include <savorywheel/node/process_signals.hpp>

#include <CLI/CLI.hpp>
#include <standin/backend/announcer.hpp>

#include <iostream>
#include <string>

using namespace savorywheel;

int main(int argc, char** argv)
{
    CLI::App app{"Backend server stand-in for tests and demos"};
    std::string service;
    std::string version = "v1";
    std::string listen;
    std::string node;
    std::string executions_path;
    std::uint32_t slots = 12;
    std::uint64_t seed = 1;
    app.add_option("--service", service, "Service name")->required();
    app.add_option("--version-name", version, "Version name")->capture_default_str();
    app.add_option("--listen", listen, "Address and port to listen on")->required();
    app.add_option("--node", node, "Administration address and port of the node")->required();
    app.add_option("--slots", slots, "Number of concurrent requests to announce")
        ->capture_default_str();
    app.add_option("--seed", seed, "Seed of the random failures")->capture_default_str();
    app.add_option("--executions", executions_path,
                   "File to which the ids of executed requests are appended");
    CLI11_PARSE(app, argc, argv);
    const auto endpoint = parse_endpoint(listen);
    const auto node_endpoint = parse_endpoint(node);
    if (!endpoint || !node_endpoint) {
        std::cerr << "not an address and port: " << listen << " or " << node << '\n';
        return 2;
    }
    const process_signals signals;
    seeded_random random{seed};
    const standin::execution_log executions{executions_path};
    standin::backend_handler handler{
        {service_name{service}, version_name{version}, *endpoint, server_state::serving, slots},
        random,
        executions};
    http_server server{handler};
    if (const auto started = server.start(*endpoint); !started) {
        std::cerr << started.reason().message << '\n';
        return 1;
    }
    curl_http_client client;
    standin::announcer announcements{handler, client, *node_endpoint};
    signals.wait_for_stop([] {});
    handler.set_state(server_state::draining);
    announcements.announce();
    server.stop();
    return 0;
}
