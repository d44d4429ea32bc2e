
#include <CLI/CLI.hpp>
#include <common/read_file.hpp>
#include <ctl/check_command.hpp>
#include <ctl/response_printer.hpp>

#include <iostream>

namespace savorywheel::ctl {

void check_command::add_to(CLI::App& parent)
{
    self_ = parent.add_subcommand("check",
                                  "List all findings of a configuration file; changes nothing");
    self_->add_option("file", file_, "Configuration file")->required();
}

bool check_command::is_selected() const
{
    return self_->parsed();
}

exit_code check_command::run(const node_client& node)
{
    const auto text = read_file(file_);
    if (!text) {
        std::cerr << file_ << ": cannot be read\n";
        return exit_code::usage;
    }
    return response_printer{node.options().output}.print_check(node.post("/check", *text), file_);
}

} // namespace savorywheel::ctl
