
#include <CLI/CLI.hpp>
#include <ctl/response_printer.hpp>
#include <ctl/settle_command.hpp>

namespace savorywheel::ctl {

void settle_command::add_to(CLI::App& parent)
{
    self_ = parent.add_subcommand("settle", "Resolve the unknown outcome of an operation");
    self_->add_option("operation", operation_, "Operation id")->required();
}

bool settle_command::is_selected() const
{
    return self_->parsed();
}

exit_code settle_command::run(const node_client& node)
{
    return response_printer{node.options().output}.print_change(node.get("/settle/" + operation_),
                                                                "", operation_);
}

} // namespace savorywheel::ctl
