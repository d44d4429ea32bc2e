#include <savorywheel/core/seeded_random.hpp>
#include <savorywheel/core/system_clock_source.hpp>
#include <savorywheel/http/curl_http_client.hpp>

#include <CLI/CLI.hpp>
#include <common/read_file.hpp>
#include <load/load_generator.hpp>
#include <load/load_plan_reader.hpp>
#include <load/load_report.hpp>
#include <load/measurement.hpp>
#include <load/node_state_benchmark.hpp>
#include <load/result_writer.hpp>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <string>

using namespace savorywheel;

namespace {

constexpr int exit_failed = 1;
constexpr int exit_usage = 2;

int run_load(const std::string& path, const std::string& json)
{
    const auto text = read_file(path);
    if (!text) {
        std::cerr << path << ": cannot be read\n";
        return exit_usage;
    }
    findings report;
    const auto plan = load::read_load_plan(*text, report);
    if (!report.empty()) {
        std::cerr << report.render(path);
        return exit_usage;
    }
    system_clock_source time;
    seeded_random random{plan.seed};
    curl_http_client client;
    const auto figures =
        load::make_load_report(load::load_generator{plan, {time, random, client}}.run());
    std::cout << figures.table();
    if (!json.empty()) {
        std::ofstream{json} << figures.json() << '\n';
    }
    return 0;
}

int run_measurement(load::measure_options options)
{
    const auto layout = load::find_deployment(options.deployment);
    if (!layout) {
        std::cerr << "no deployment " << options.deployment << '\n';
        return exit_usage;
    }
    options.programs = std::filesystem::read_symlink("/proc/self/exe").parent_path().string();
    const auto result = load::measurement{options, *layout}.run();
    const std::filesystem::path folder{options.out};
    std::ofstream{folder / "measure.json"} << load::write_json(result);
    std::ofstream{folder / "measure.html"} << load::write_html(result);
    std::cout << result.figures.table();
    for (const auto& fault : result.faults) {
        std::cout << "fault: " << fault << '\n';
    }
    return result.faults.empty() ? 0 : exit_failed;
}

void add_measure_options(CLI::App& command, load::measure_options& options)
{
    command.add_option("--deployment", options.deployment, "frigoporto or kaldmaa")
        ->capture_default_str();
    command.add_option("--nodes", options.nodes, "Number of nodes; default: as in the deployment");
    command
        .add_option("--seconds", options.seconds, "Length of each measurement window in seconds")
        ->capture_default_str();
    command.add_option("--out", options.out, "Output folder")->capture_default_str();
    command.add_option("--rounds", options.rounds, "Rounds, each of the mesh and its baseline")
        ->capture_default_str();
    command.add_option("--changes", options.changes, "Configuration changes per phase of a round")
        ->capture_default_str();
    command
        .add_option("--moves", options.moves, "Rounds that roll out a good and a faulty version")
        ->capture_default_str();
    command.add_option("--rate", options.per_second, "Requests per second")->capture_default_str();
    command.add_option("--services", options.extra_services,
                       "Additional services without backend servers");
    command
        .add_option("--region-delay-ms", options.region_delay_ms,
                    "One-way delay between regions in milliseconds")
        ->capture_default_str();
    command.add_option("--network", options.network, "Second octet of all IP addresses")
        ->capture_default_str();
    command.add_option("--port-base", options.port_base, "First port")->capture_default_str();
}

} // namespace

int main(int argc, char** argv)
{
    ::setenv("TZ", "UTC", 1);
    CLI::App app{"savorywheel-load: open-loop load generator and mesh benchmark"};
    app.require_subcommand(1);
    auto* run = app.add_subcommand("run", "Generate load and report latency and errors");
    std::string path;
    std::string json;
    run->add_option("--settings", path, "YAML file with the load plan")->required();
    run->add_option("--json", json, "Output file for the figures as JSON");
    auto* measure =
        app.add_subcommand("measure", "Start a mesh on loopback addresses and benchmark it");
    auto* state =
        app.add_subcommand("state", "Benchmark the state of one node for a given mesh size");
    constexpr std::size_t default_members = 15'000;
    constexpr std::size_t default_services = 1200;
    std::size_t members = default_members;
    std::size_t services = default_services;
    state->add_option("--members", members, "Number of members")->capture_default_str();
    state->add_option("--services", services, "Number of services")->capture_default_str();
    load::measure_options options;
    bool quick = false;
    add_measure_options(*measure, options);
    measure->add_flag("--quick", quick, "Short run, within two minutes");
    CLI11_PARSE(app, argc, argv);
    if (run->parsed()) {
        return run_load(path, json);
    }
    if (state->parsed()) {
        std::cout << load::measure_node_state(members, services).table();
        return 0;
    }
    if (quick) {
        constexpr unsigned quick_seconds = 10;
        constexpr unsigned quick_changes = 3;
        constexpr unsigned quick_settle_seconds = 20;
        constexpr unsigned quick_moves = 1;
        options.moves = quick_moves;
        options.seconds = quick_seconds;
        options.changes = quick_changes;
        options.settle_seconds = quick_settle_seconds;
    }
    return run_measurement(options);
}
