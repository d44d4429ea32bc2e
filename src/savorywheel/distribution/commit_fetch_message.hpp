#ifndef SAVORYWHEEL_DISTRIBUTION_COMMIT_FETCH_MESSAGE_HPP
#define SAVORYWHEEL_DISTRIBUTION_COMMIT_FETCH_MESSAGE_HPP

#include <savorywheel/core/config_version.hpp>

namespace savorywheel {

/** @brief Requests the commits after a version. */
struct commit_fetch_message {
    /** @brief Version of the requesting node. */
    config_version after;
};

} // namespace savorywheel

#endif
