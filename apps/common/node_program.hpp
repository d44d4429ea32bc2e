#ifndef SAVORYWHEEL_APPS_COMMON_NODE_PROGRAM_HPP
#define SAVORYWHEEL_APPS_COMMON_NODE_PROGRAM_HPP

#include <savorywheel/node/front_end.hpp>

#include <functional>
#include <memory>
#include <string>

namespace savorywheel {

/** @brief Creates the front end that a node uses for the given settings. */
using front_end_factory = std::function<std::unique_ptr<front_end>(const node_settings&)>;

/**
 * @brief Parses the command line, loads the settings and runs a node until a stop signal.
 * @param name Program name for help texts and for the log before the settings are loaded.
 * @param argc Argument count of main().
 * @param argv Arguments of main().
 * @param make_front_end Called once, after the settings have been validated.
 * @return Exit code: 0 after a stop, 1 if the node cannot start, 2 for invalid settings.
 */
[[nodiscard]] int run_node_program(const std::string& name, int argc, char** argv,
                                   const front_end_factory& make_front_end);

} // namespace savorywheel

#endif
