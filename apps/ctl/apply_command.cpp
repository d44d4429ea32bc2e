
#include <CLI/CLI.hpp>
#include <common/read_file.hpp>
#include <ctl/apply_command.hpp>
#include <ctl/response_printer.hpp>

#include <iostream>
#include <utility>

namespace savorywheel::ctl {

void apply_command::add_to(CLI::App& parent)
{
    self_ = parent.add_subcommand("apply", "Apply a configuration file");
    self_->add_option("file", file_, "Configuration file")->required();
    change_.add_to(*self_);
}

bool apply_command::is_selected() const
{
    return self_->parsed();
}

exit_code apply_command::run(const node_client& node)
{
    const auto text = read_file(file_);
    if (!text) {
        std::cerr << file_ << ": cannot be read\n";
        return exit_code::usage;
    }
    http_request request{"PUT", "/config", {}, *text};
    change_.add_to(request);
    return response_printer{node.options().output}.print_change(node.send(std::move(request)),
                                                                file_, change_.operation());
}

} // namespace savorywheel::ctl
