
#include <CLI/CLI.hpp>
#include <ctl/response_printer.hpp>
#include <ctl/status_command.hpp>

namespace savorywheel::ctl {

void status_command::add_to(CLI::App& parent)
{
    self_ = parent.add_subcommand("status", "Show versions, moves and overrides");
}

bool status_command::is_selected() const
{
    return self_->parsed();
}

exit_code status_command::run(const node_client& node)
{
    return response_printer{node.options().output}.print_query_result<status_report>(
        node.get("/status"));
}

} // namespace savorywheel::ctl
