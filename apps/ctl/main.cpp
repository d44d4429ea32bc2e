#include <ctl/command_line.hpp>

using savorywheel::ctl::exit_code;

int main(int argc, char** argv)
{
    savorywheel::ctl::command_line line;
    try {
        line.parser().parse(argc, argv);
    }
    catch (const CLI::ParseError& error) {
        const bool helped = line.parser().exit(error) == 0;
        return static_cast<int>(helped ? exit_code::done : exit_code::usage);
    }
    return static_cast<int>(line.run());
}
