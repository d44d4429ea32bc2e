#include <savorywheel/admin/admin_headers.hpp>

#include <CLI/CLI.hpp>
#include <ctl/change_options.hpp>
#include <fmt/format.h>

#include <random>

namespace savorywheel::ctl {

namespace {

std::string random_operation_id()
{
    std::random_device device;
    return fmt::format("{:08x}{:08x}{:08x}{:08x}", device(), device(), device(), device());
}

} // namespace

change_options::change_options() : operation_{random_operation_id()} {}

void change_options::add_to(CLI::App& command)
{
    command.add_option(
        "--seen", base_version_,
        "Version that the change is based on; required to change a service under an override");
    command
        .add_option("--operation", operation_,
                    "Operation id; a repeated id takes effect at most once")
        ->default_str("random");
}

void change_options::add_to(http_request& request) const
{
    request.headers.push_back({std::string{operation_header}, operation_});
    if (base_version_) {
        request.headers.push_back({std::string{base_header}, std::to_string(*base_version_)});
    }
}

} // namespace savorywheel::ctl
