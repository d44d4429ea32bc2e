#ifndef SAVORYWHEEL_APPS_CTL_COMMAND_HPP
#define SAVORYWHEEL_APPS_CTL_COMMAND_HPP

#include <ctl/exit_code.hpp>
#include <ctl/node_client.hpp>

namespace CLI { // NOLINT(readability-identifier-naming): the library's name.
class App;
}

namespace savorywheel::ctl {

/** @brief Subcommand of savorywheelctl. */
class command {
public:
    command() = default;
    command(const command&) = delete;
    command& operator=(const command&) = delete;
    command(command&&) = delete;
    command& operator=(command&&) = delete;
    virtual ~command() = default;

    /** @brief Registers the subcommand and its options. */
    virtual void add_to(CLI::App& parent) = 0;

    /** @return True if the command line selects this subcommand. */
    [[nodiscard]] virtual bool is_selected() const = 0;

    /** @brief Runs the subcommand against a node. */
    [[nodiscard]] virtual exit_code run(const node_client& node) = 0;
};

} // namespace savorywheel::ctl

#endif
