#include <savorywheel/core/system_clock_source.hpp>

#include <CLI/CLI.hpp>
#include <check/offline_checker.hpp>

#include <iostream>
#include <string>
#include <vector>

using namespace savorywheel;

namespace {

constexpr int exit_usage = 2;
constexpr int exit_findings = 3;

constexpr const char* examples = R"(Examples:
  savorywheel-check --text mesh.yaml                       all findings of a configuration
  savorywheel-check --text mesh.yaml --settings nodes/*    and of node settings checked against it

Exit codes: 0 no findings, 2 invalid command line, 3 findings.)";

} // namespace

int main(int argc, char** argv)
{
    CLI::App app{
        "savorywheel-check: validate a configuration and node settings without a running mesh"};
    std::string text;
    std::vector<std::string> settings;
    app.add_option("--text", text, "Configuration file");
    app.add_option("--settings", settings, "Settings files of nodes");
    app.require_option(1, 0);
    app.footer(examples);
    try {
        app.parse(argc, argv);
    }
    catch (const CLI::ParseError& error) {
        return app.exit(error) == 0 ? 0 : exit_usage;
    }
    const system_clock_source time;
    check::offline_checker checker{time, std::cout};
    if (!text.empty()) {
        checker.check_text(text);
    }
    for (const auto& path : settings) {
        checker.check_settings(path);
    }
    checker.check_consistency();
    if (!checker.clean()) {
        return exit_findings;
    }
    std::cout << "no findings\n";
    return 0;
}
