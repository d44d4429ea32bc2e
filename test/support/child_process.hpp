#ifndef SAVORYWHEEL_TEST_SUPPORT_CHILD_PROCESS_HPP
#define SAVORYWHEEL_TEST_SUPPORT_CHILD_PROCESS_HPP

#include <standin/support/child_process.hpp>

#include <span>
#include <string>

namespace savorywheel::test {

/** @brief A program of the build's bin folder that a test started. */
class child_process : public standin::child_process {
public:
    /**
     * @brief Starts the program.
     * @param program Name of the program.
     * @param arguments Its arguments.
     * @param log File that receives its output; appended to.
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
