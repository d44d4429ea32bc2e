#ifndef SAVORYWHEEL_SETTINGS_SETTINGS_FILE_HPP
#define SAVORYWHEEL_SETTINGS_SETTINGS_FILE_HPP

#include <savorywheel/settings/node_settings.hpp>

#include <string>

namespace savorywheel {

/** @brief Settings of a node and their source file. */
struct settings_file {
    std::string path;
    node_settings settings;
};

} // namespace savorywheel

#endif
