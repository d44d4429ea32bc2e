#ifndef SAVORYWHEEL_APPS_COMMON_NODE_PROGRAM_HPP
#define SAVORYWHEEL_APPS_COMMON_NODE_PROGRAM_HPP

#include <savorywheel/node/front_end.hpp>

#include <functional>
#include <memory>
#include <string>

namespace savorywheel {

/** @brief Makes what a node speaks with its surroundings. */
using front_end_factory = std::function<std::unique_ptr<front_end>(const node_settings&)>;

/**
 * @brief Reads the command line and the settings, and runs a node until it is asked to stop.
 * @param name Name of the program.
 * @param argc Number of arguments.
 * @param argv Arguments.
 * @param make_front_end Makes the front end.
 * @return Exit code: 0 after a stop, 1 if the node cannot start, 2 for faulty settings.
 */
[[nodiscard]] int run_node_program(const std::string& name, int argc, char** argv,
                                   const front_end_factory& make_front_end);

} // namespace savorywheel

#endif
