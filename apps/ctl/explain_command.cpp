#include <savorywheel/explain/log_line_reader.hpp>
#include <savorywheel/explain/request_story.hpp>

#include <CLI/CLI.hpp>
#include <ctl/explain_command.hpp>

#include <fstream>
#include <iostream>
#include <span>

namespace savorywheel::ctl {

namespace {

/** Adds the lines of one log to all requests in a single pass; false if it cannot be opened. */
bool read_log(const std::string& path, std::span<request_story> stories)
{
    std::ifstream file{path};
    if (!file) {
        return false;
    }
    std::string text;
    while (std::getline(file, text)) {
        // Lines of other programs may be mixed into a log, so lines that do not parse are skipped.
        if (const auto line = read_log_line(text)) {
            for (auto& story : stories) {
                story.add(*line);
            }
        }
    }
    return true;
}

void print_lines(const request_story& story)
{
    for (const auto& line : story.lines()) {
        std::cout << "  " << line.time << ' ' << line.field("process") << ' ' << line.text;
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

bool explain_command::chosen() const
{
    return self_->parsed();
}

exit_code explain_command::run(const node_client& /*node*/)
{
    std::vector<request_story> stories{ids_.begin(), ids_.end()};
    for (const auto& path : logs_) {
        if (!read_log(path, stories)) {
            std::cerr << path << ": cannot be read\n";
            return exit_code::usage;
        }
    }
    bool all_ended = true;
    for (std::size_t i = 0; i < stories.size(); ++i) {
        all_ended = all_ended && stories[i].ended();
        std::cout << ids_[i] << ": " << stories[i].verdict() << '\n';
        if (!brief_) {
            print_lines(stories[i]);
        }
    }
    return all_ended ? exit_code::done : exit_code::unknown;
}

} // namespace savorywheel::ctl
