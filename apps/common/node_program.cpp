#include <savorywheel/core/allocator.hpp>
#include <savorywheel/core/duration_text.hpp>
#include <savorywheel/log/log4cxx_event_log.hpp>
#include <savorywheel/node/node.hpp>
#include <savorywheel/node/process_signals.hpp>
#include <savorywheel/settings/node_settings_reader.hpp>

#include <CLI/CLI.hpp>
#include <common/node_program.hpp>
#include <common/read_file.hpp>

#include <iostream>
#include <optional>

namespace savorywheel {

namespace {

constexpr int exit_failed = 1;
constexpr int exit_bad_settings = 2;

/** Loads the settings; prints and logs the findings if they are invalid. */
std::optional<node_settings> load_settings(const std::string& program, const std::string& path)
{
    const auto text = read_file(path);
    if (!text) {
        std::cerr << path << ": cannot be read\n";
        return std::nullopt;
    }
    findings report;
    auto settings = read_node_settings(*text, report);
    if (!report.empty()) {
        std::cerr << report.render(path);
        log4cxx_event_log{program}.write(event_id::settings_rejected, path);
        return std::nullopt;
    }
    return settings;
}

int run(const std::string& program, const std::string& path, const node_settings& settings,
        const front_end& front)
{
    const process_signals signals;
    log4cxx_event_log log{settings.name.str(), settings.log_level};
    node process{settings, log, passthrough_links::instance(), front};
    if (const auto started = process.start(); !started) {
        std::cerr << started.reason().message << '\n';
        return exit_failed;
    }
    signals.wait_for_stop([&] {
        if (const auto changed = load_settings(program, path)) {
            process.reload(*changed);
        }
    });
    process.stop();
    return 0;
}

} // namespace

int run_node_program(const std::string& name, int argc, char** argv,
                     const front_end_factory& make_front_end)
{
    return_large_blocks_to_the_system();
    CLI::App app{name + ": proxy and gate of a backend server"};
    std::string path;
    std::string stop_grace;
    bool check_only = false;
    app.add_option("--settings", path, "YAML file with the settings of the node")
        ->envname("SAVORYWHEEL_CONFIG")
        ->required();
    app.add_option("--stop-grace", stop_grace,
                   "Time from SIGTERM to SIGKILL, such as 6s; replaces stop_grace_ms");
    app.add_flag("--check-settings", check_only, "Check the settings and exit");
    CLI11_PARSE(app, argc, argv);
    auto settings = load_settings(name, path);
    if (!settings) {
        return exit_bad_settings;
    }
    if (!stop_grace.empty()) {
        settings->stop_grace = parse_duration(stop_grace);
        if (!settings->stop_grace) {
            std::cerr << "--stop-grace: found \"" << stop_grace
                      << "\"; expected a time such as 6s or 6000ms\n";
            return exit_bad_settings;
        }
    }
    if (check_only) {
        std::cout << path << ": no faults\n";
        return 0;
    }
    return run(name, path, *settings, *make_front_end(*settings));
}

} // namespace savorywheel
