
#include <CLI/CLI.hpp>
#include <ctl/response_printer.hpp>
#include <ctl/text_command.hpp>

namespace savorywheel::ctl {

void text_command::add_to(CLI::App& parent)
{
    self_ = parent.add_subcommand("text", "Print the configuration text applied last");
}

bool text_command::is_selected() const
{
    return self_->parsed();
}

exit_code text_command::run(const node_client& node)
{
    return response_printer{node.options().output}.print_body(node.get("/config"));
}

} // namespace savorywheel::ctl
