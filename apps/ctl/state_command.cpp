
#include <CLI/CLI.hpp>
#include <ctl/response_printer.hpp>
#include <ctl/state_command.hpp>

namespace savorywheel::ctl {

void state_command::add_to(CLI::App& parent)
{
    self_ = parent.add_subcommand("state", "Dump the state of the process at --node, as JSON");
}

bool state_command::is_selected() const
{
    return self_->parsed();
}

exit_code state_command::run(const node_client& node)
{
    return response_printer{node.options().output}.print_body(node.get("/state"));
}

} // namespace savorywheel::ctl
