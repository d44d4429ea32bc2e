#include <savorywheel/admin/admin_headers.hpp>

#include <CLI/CLI.hpp>
#include <common/read_file.hpp>
#include <ctl/diff_command.hpp>
#include <ctl/response_printer.hpp>

#include <iostream>
#include <utility>

namespace savorywheel::ctl {

void diff_command::add_to(CLI::App& parent)
{
    self_ = parent.add_subcommand("diff",
                                  "Show what a configuration file would change; changes nothing");
    self_->add_option("file", file_, "Configuration file")->required();
    self_->add_option("--seen", base_version_, "Version that the file is based on");
}

bool diff_command::is_selected() const
{
    return self_->parsed();
}

exit_code diff_command::run(const node_client& node)
{
    const auto text = read_file(file_);
    if (!text) {
        std::cerr << file_ << ": cannot be read\n";
        return exit_code::usage;
    }
    http_request request{"POST", "/diff", {}, *text};
    if (base_version_) {
        request.headers.push_back({std::string{base_header}, std::to_string(*base_version_)});
    }
    return response_printer{node.options().output}.print_diff(node.send(std::move(request)), file_);
}

} // namespace savorywheel::ctl
