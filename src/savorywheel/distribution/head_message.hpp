#ifndef SAVORYWHEEL_DISTRIBUTION_HEAD_MESSAGE_HPP
#define SAVORYWHEEL_DISTRIBUTION_HEAD_MESSAGE_HPP

#include <savorywheel/core/config_version.hpp>

namespace savorywheel {

/** @brief Tells which configuration version is in force at a node. */
struct head_message {
    /** @brief The version. */
    config_version version;
};

} // namespace savorywheel

#endif
