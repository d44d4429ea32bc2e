
#include <CLI/CLI.hpp>
#include <ctl/answer_printer.hpp>
#include <ctl/history_command.hpp>

namespace savorywheel::ctl {

void history_command::add_to(CLI::App& parent)
{
    self_ = parent.add_subcommand("history", "List the latest accepted changes");
}

bool history_command::chosen() const
{
    return self_->parsed();
}

exit_code history_command::run(const node_client& node)
{
    return answer_printer{node.options().output}.print_view<history_report>(node.get("/history"));
}

} // namespace savorywheel::ctl
