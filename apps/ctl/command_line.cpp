#include <savorywheel/http/curl_http_client.hpp>

#include <ctl/apply_command.hpp>
#include <ctl/check_command.hpp>
#include <ctl/command_line.hpp>
#include <ctl/diff_command.hpp>
#include <ctl/explain_command.hpp>
#include <ctl/history_command.hpp>
#include <ctl/override_list_command.hpp>
#include <ctl/override_release_command.hpp>
#include <ctl/override_set_command.hpp>
#include <ctl/settle_command.hpp>
#include <ctl/state_command.hpp>
#include <ctl/status_command.hpp>
#include <ctl/text_command.hpp>

#include <iostream>
#include <map>

namespace savorywheel::ctl {

namespace {

constexpr std::chrono::seconds default_timeout{20};

constexpr const char* examples = R"(Examples:
  savorywheelctl --node 127.7.0.1:7001 text > mesh.yaml   print the configuration applied last
  savorywheelctl diff mesh.yaml                           show what an edited file would change
  savorywheelctl apply mesh.yaml --seen 12                apply it, based on version 12
  savorywheelctl status                                   moves, overrides, versions in force
  savorywheelctl override set bookdesk v1=100 --reason "v2 loses bookings"
  savorywheelctl override release bookdesk --seen 14 --reason "v2 is fixed"
  savorywheelctl settle 5e3a...                           resolve an unknown outcome
  savorywheelctl explain 62a1... --logs node-*.log        explain why a request failed

Exit codes:
  0 done, accepted or without findings    1 no response, or the request failed
  2 invalid command line or file          3 refused, or findings; nothing was changed
  4 outcome unknown; settle the operation 5 unknown operator key; nothing was changed)";

} // namespace

command_line::command_line() : app_{"savorywheelctl: change and inspect the mesh"}
{
    add_options();
    add_commands();
    app_.require_subcommand(1);
    app_.footer(examples);
}

exit_code command_line::run()
{
    const auto endpoint = parse_endpoint(node_);
    if (!endpoint) {
        std::cerr << node_ << ": expected an IP address and port such as 127.0.0.1:7001\n";
        return exit_code::usage;
    }
    options_.node = *endpoint;
    curl_http_client http;
    const node_client node{http, options_};
    for (const auto& item : commands_) {
        if (item->is_selected()) {
            return item->run(node);
        }
    }
    return exit_code::usage;
}

void command_line::add_options()
{
    options_.timeout = default_timeout;
    app_.fallthrough();
    app_.add_option("--node", node_, "Admin address and port of any node")
        ->envname("SAVORYWHEEL_NODE")
        ->capture_default_str();
    app_.add_option("--key", options_.key, "Operator key; prefer the environment variable")
        ->envname("SAVORYWHEEL_KEY");
    const std::map<std::string, output_format> formats{{"text", output_format::text},
                                                       {"json", output_format::json}};
    app_.add_option("--output", options_.output, "Output format, text or json")
        ->transform(CLI::CheckedTransformer(formats))
        ->default_str("text");
    app_.add_option("--timeout", options_.timeout, "Request timeout")->default_str("20s");
}

void command_line::add_commands()
{
    commands_.push_back(std::make_unique<check_command>());
    commands_.push_back(std::make_unique<diff_command>());
    commands_.push_back(std::make_unique<apply_command>());
    commands_.push_back(std::make_unique<settle_command>());
    commands_.push_back(std::make_unique<text_command>());
    commands_.push_back(std::make_unique<status_command>());
    commands_.push_back(std::make_unique<history_command>());
    commands_.push_back(std::make_unique<state_command>());
    commands_.push_back(std::make_unique<explain_command>());
    for (const auto& item : commands_) {
        item->add_to(app_);
    }
    auto& overrides = *app_.add_subcommand("override", "Set, release and list overrides");
    overrides.require_subcommand(1);
    overrides.fallthrough();
    const auto add = [&](std::unique_ptr<command> item) {
        item->add_to(overrides);
        commands_.push_back(std::move(item));
    };
    add(std::make_unique<override_set_command>());
    add(std::make_unique<override_release_command>());
    add(std::make_unique<override_list_command>());
}

} // namespace savorywheel::ctl
