#include <savorywheel/explain/log_line_parser.hpp>
#include <savorywheel/explain/request_trace.hpp>

#include <CLI/CLI.hpp>
#include <ctl/explain_command.hpp>

#include <fstream>
#include <iostream>
#include <span>

namespace savorywheel::ctl {

namespace {

/** Adds the lines of one log to all requests in a single pass; false if it cannot be opened. */
bool read_log(const std::string& path, std::span<request_trace> traces)
{
    std::ifstream file{path};
    if (!file) {
        return false;
    }
    std::string text;
    while (std::getline(file, text)) {
        // Lines of other programs may be mixed into a log, so lines that do not parse are skipped.
        if (const auto line = parse_log_line(text)) {
            for (auto& trace : traces) {
                trace.add(*line);
            }
        }
    }
    return true;
}

void print_lines(const request_trace& trace)
{
    for (const auto& line : trace.lines()) {
        std::cout << "  " << line.time << ' ' << line.field("process") << ' ' << line.message;
        for (const auto& [name, value] : line.fields) {
            if (name != "process" && name != "request") {
                std::cout << ' ' << name << '=' << value;
            }
        }
        std::cout << '\n';
    }
}

} // namespace

void explain_command::add_to(CLI::App& parent)
{
    self_ = parent.add_subcommand("explain",
                                  "Explain the outcome of requests from the logs of the nodes");
    self_->add_option("ID", ids_, "Request ids")->required();
    self_->add_option("--logs", logs_, "Log files of the nodes, as written to standard output")
        ->required()
        ->check(CLI::ExistingFile);
    self_->add_flag("--brief", brief_, "Print only the conclusion, without log lines");
}

bool explain_command::is_selected() const
{
    return self_->parsed();
}

exit_code explain_command::run(const node_client& /*node*/)
{
    std::vector<request_trace> traces{ids_.begin(), ids_.end()};
    for (const auto& path : logs_) {
        if (!read_log(path, traces)) {
            std::cerr << path << ": cannot be read\n";
            return exit_code::usage;
        }
    }
    bool all_ended = true;
    for (std::size_t i = 0; i < traces.size(); ++i) {
        all_ended = all_ended && traces[i].ended();
        std::cout << ids_[i] << ": " << traces[i].conclusion() << '\n';
        if (!brief_) {
            print_lines(traces[i]);
        }
    }
    return all_ended ? exit_code::done : exit_code::unknown;
}

} // namespace savorywheel::ctl
