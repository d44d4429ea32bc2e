#ifndef SAVORYWHEEL_SETTINGS_SETTINGS_FILE_HPP
#define SAVORYWHEEL_SETTINGS_SETTINGS_FILE_HPP

#include <savorywheel/settings/node_settings.hpp>

#include <string>

namespace savorywheel {

/** @brief Settings of a node and the file that they were read from. */
struct settings_file {
    /** @brief Path of the file. */
    std::string path;
    /** @brief The settings. */
    node_settings settings;
};

} // namespace savorywheel

#endif
