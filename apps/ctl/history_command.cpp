
#include <CLI/CLI.hpp>
#include <ctl/history_command.hpp>
#include <ctl/response_printer.hpp>

namespace savorywheel::ctl {

void history_command::add_to(CLI::App& parent)
{
    self_ = parent.add_subcommand("history", "List the latest accepted changes");
}

bool history_command::is_selected() const
{
    return self_->parsed();
}

exit_code history_command::run(const node_client& node)
{
    return response_printer{node.options().output}.print_query_result<history_report>(
        node.get("/history"));
}

} // namespace savorywheel::ctl
