
#include <CLI/CLI.hpp>
#include <ctl/override_list_command.hpp>
#include <ctl/response_printer.hpp>

namespace savorywheel::ctl {

void override_list_command::add_to(CLI::App& parent)
{
    self_ = parent.add_subcommand("list", "List the overrides in force");
}

bool override_list_command::is_selected() const
{
    return self_->parsed();
}

exit_code override_list_command::run(const node_client& node)
{
    return response_printer{node.options().output}.print_query_result<override_report>(
        node.get("/overrides"));
}

} // namespace savorywheel::ctl
