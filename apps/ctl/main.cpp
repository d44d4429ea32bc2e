#include <ctl/command_line.hpp>

using savorywheel::ctl::exit_code;

int main(int argc, char** argv)
{
    savorywheel::ctl::command_line line;
    try {
        line.parser().parse(argc, argv);
    }
    catch (const CLI::ParseError& error) {
        const bool help_requested = line.parser().exit(error) == 0;
        return static_cast<int>(help_requested ? exit_code::done : exit_code::usage);
    }
    return static_cast<int>(line.run());
}
