#include <savorywheel/log/log4cxx_event_log.hpp>
#include <savorywheel/node/node.hpp>
#include <savorywheel/node/process_signals.hpp>
#include <savorywheel/settings/node_settings_reader.hpp>

#include <CLI/CLI.hpp>
#include <standin/node/region_delay_links.hpp>

#include <fstream>
#include <iostream>
#include <iterator>
#include <string>

using namespace savorywheel;

int main(int argc, char** argv)
{
    CLI::App app{"Node for tests that delays traffic from other regions"};
    std::string path;
    unsigned delay_ms = 0;
    app.add_option("--settings", path, "YAML file with the node's settings")->required();
    app.add_option("--region-delay-ms", delay_ms, "One-way delay between regions, in milliseconds");
    CLI11_PARSE(app, argc, argv);
    std::ifstream file{path};
    const std::string text{std::istreambuf_iterator<char>{file}, {}};
    findings report;
    const auto settings = read_node_settings(text, report);
    if (!report.empty()) {
        std::cerr << report.render(path);
        return 2;
    }
    const process_signals signals;
    log4cxx_event_log log{settings.name.str()};
    standin::region_delay_links links{settings, std::chrono::milliseconds{delay_ms}};
    node process{settings, log, links};
    if (const auto started = process.start(); !started) {
        std::cerr << started.reason().message << '\n';
        return 1;
    }
    signals.wait_for_stop([] {});
    process.stop();
    return 0;
}
