#ifndef SAVORYWHEEL_DISTRIBUTION_HEAD_MESSAGE_HPP
#define SAVORYWHEEL_DISTRIBUTION_HEAD_MESSAGE_HPP

#include <savorywheel/core/config_version.hpp>

namespace savorywheel {

/** @brief Configuration version in force at the sender. */
struct head_message {
    config_version version;
};

} // namespace savorywheel

#endif
