#ifndef SAVORYWHEEL_APPS_CTL_COMMAND_LINE_HPP
#define SAVORYWHEEL_APPS_CTL_COMMAND_LINE_HPP

#include <CLI/CLI.hpp>
#include <ctl/command.hpp>
#include <ctl/common_options.hpp>

#include <memory>
#include <string>
#include <vector>

namespace savorywheel::ctl {

/** @brief Command line of savorywheelctl. */
class command_line {
public:
    command_line();

    /** @return Parser of the command line; parse before run(). */
    [[nodiscard]] CLI::App& parser() noexcept { return app_; }

    /** @brief Runs the selected subcommand. */
    [[nodiscard]] exit_code run();

private:
    void add_options();
    void add_commands();

    CLI::App app_;
    std::string node_{"127.0.0.1:7001"};
    common_options options_;
    std::vector<std::unique_ptr<command>> commands_;
};

} // namespace savorywheel::ctl

#endif
