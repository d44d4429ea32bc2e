#include <savorywheel/admin/override_request.hpp>
#include <savorywheel/encoding/codec.hpp>

#include <CLI/CLI.hpp>
#include <ctl/override_set_command.hpp>
#include <ctl/response_printer.hpp>
#include <ctl/share.hpp>

#include <iostream>
#include <utility>

namespace savorywheel::ctl {

void override_set_command::add_to(CLI::App& parent)
{
    self_ = parent.add_subcommand("set", "Override the traffic shares of a service");
    self_->add_option("service", service_, "Service")->required();
    self_->add_option("shares", shares_, "Traffic shares in percent, such as v1=90 v2=10")
        ->required();
    self_->add_option("--reason", reason_, "Reason, shown to other operators")->required();
    change_.add_to(*self_);
}

bool override_set_command::is_selected() const
{
    return self_->parsed();
}

exit_code override_set_command::run(const node_client& node)
{
    override_request requested{{}, reason_};
    for (const auto& share : shares_) {
        const auto weight = parse_share(share);
        if (!weight) {
            std::cerr << share << ": expected a share such as v1=90\n";
            return exit_code::usage;
        }
        requested.weights.push_back(*weight);
    }
    http_request request{"PUT", "/override/" + service_, {}, encode_json(requested)};
    change_.add_to(request);
    return response_printer{node.options().output}.print_change(node.send(std::move(request)), "",
                                                                change_.operation());
}

} // namespace savorywheel::ctl
