#include <savorywheel/log/log4cxx_event_log.hpp>
#include <savorywheel/node/node.hpp>
#include <savorywheel/node/stop_signal.hpp>
#include <savorywheel/settings/node_settings_reader.hpp>

#include <CLI/CLI.hpp>
#include <common/node_program.hpp>
#include <common/read_file.hpp>

#include <iostream>

namespace savorywheel {

namespace {

constexpr int exit_failed = 1;
constexpr int exit_bad_settings = 2;

int run(const node_settings& settings, const front_end& front)
{
    const stop_signal signal;
    log4cxx_event_log log{settings.name.str(), settings.log_level};
    node process{settings, log, plain_links::instance(), front};
    if (const auto started = process.start(); !started) {
        std::cerr << started.reason().message << '\n';
        return exit_failed;
    }
    signal.wait();
    process.stop();
    return 0;
}

} // namespace

int run_node_program(const std::string& name, int argc, char** argv,
                     const front_end_factory& make_front)
{
    CLI::App app{name + ": proxy and gate beside a backend server"};
    std::string path;
    bool check_only = false;
    app.add_option("--settings", path, "YAML file with the node's settings")
        ->envname("SAVORYWHEEL_CONFIG")
        ->required();
    app.add_flag("--check-settings", check_only, "Check the settings and exit");
    CLI11_PARSE(app, argc, argv);
    const auto text = read_file(path);
    if (!text) {
        std::cerr << path << ": cannot be read\n";
        return exit_bad_settings;
    }
    findings report;
    const auto settings = read_node_settings(*text, report);
    if (!report.empty()) {
        std::cerr << report.render(path);
        log4cxx_event_log{name}.write(event_id::settings_refused, path);
        return exit_bad_settings;
    }
    if (check_only) {
        std::cout << path << ": no faults\n";
        return 0;
    }
    return run(settings, *make_front(settings));
}

} // namespace savorywheel
