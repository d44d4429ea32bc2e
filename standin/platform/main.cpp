#include <savorywheel/core/system_clock_source.hpp>
#include <savorywheel/http/http_server.hpp>
#include <savorywheel/node/process_signals.hpp>

#include <CLI/CLI.hpp>
#include <standin/platform/in_memory_object_store.hpp>
#include <standin/platform/platform_handler.hpp>

#include <iostream>
#include <string>

using namespace savorywheel;

int main(int argc, char** argv)
{
    CLI::App app{"Stand-in for the platform's object API in tests and demos"};
    std::string listen = "127.0.0.1:9000";
    app.add_option("--listen", listen, "Address and port to listen on")->capture_default_str();
    standin::platform_limits limits;
    app.add_option("--reads-per-second", limits.reads_per_second,
                   "Limit of reads and watches per second; 0 for none")
        ->capture_default_str();
    app.add_option("--writes-per-second", limits.writes_per_second,
                   "Limit of writes per second; 0 for none")
        ->capture_default_str();
    CLI11_PARSE(app, argc, argv);
    const auto endpoint = parse_endpoint(listen);
    if (!endpoint) {
        std::cerr << "not an address and port: " << listen << '\n';
        return 2;
    }
    const process_signals signals;
    standin::in_memory_object_store store;
    const system_clock_source time;
    standin::platform_handler handler{store, time, limits};
    http_server server{handler, http_server_limits{.max_connections = 4096}};
    if (const auto started = server.start(*endpoint); !started) {
        std::cerr << started.reason().message << '\n';
        return 1;
    }
    signals.wait_for_stop([] {});
    store.stop();
    server.stop();
    return 0;
}
