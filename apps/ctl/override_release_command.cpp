#include <savorywheel/admin/override_request.hpp>
#include <savorywheel/encoding/codec.hpp>

#include <CLI/CLI.hpp>
#include <ctl/override_release_command.hpp>
#include <ctl/response_printer.hpp>

#include <utility>

namespace savorywheel::ctl {

void override_release_command::add_to(CLI::App& parent)
{
    self_ = parent.add_subcommand("release", "Release the override of a service");
    self_->add_option("service", service_, "Service")->required();
    self_->add_option("--reason", reason_, "Reason, shown to other operators")->required();
    change_.add_to(*self_);
}

bool override_release_command::is_selected() const
{
    return self_->parsed();
}

exit_code override_release_command::run(const node_client& node)
{
    http_request request{"DELETE", "/override/" + service_, {}, {}};
    request.body = encode_json(override_request{{}, reason_});
    change_.add_to(request);
    return response_printer{node.options().output}.print_change(node.send(std::move(request)), "",
                                                                change_.operation());
}

} // namespace savorywheel::ctl
