#ifndef SAVORYWHEEL_TEST_SUPPORT_CHILD_PROCESS_HPP
#define SAVORYWHEEL_TEST_SUPPORT_CHILD_PROCESS_HPP

#include <standin/support/child_process.hpp>

#include <span>
#include <string>

namespace savorywheel::test {

/** @brief Child process that runs a program of the build's bin folder. */
class child_process : public standin::child_process {
public:
    /**
     * @brief Starts the program.
     * @param program File name of the program.
     * @param arguments Its arguments.
     * @param log File to which its output is appended.
     */
    child_process(const std::string& program, std::span<const std::string> arguments,
                  const std::string& log)
        : standin::child_process{std::string{SAVORYWHEEL_BINARY_FOLDER} + "/" + program, arguments,
                                 log}
    {
    }
};

} // namespace savorywheel::test

#endif
