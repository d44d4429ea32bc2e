#ifndef SAVORYWHEEL_APPS_LOAD_CALL_PATH_HPP
#define SAVORYWHEEL_APPS_LOAD_CALL_PATH_HPP

#include <cstdint>

namespace savorywheel::load {

/** @brief Route of a request to a backend server. */
enum class call_path : std::uint8_t {
    mesh,  /**< Through the caller's node. */
    direct /**< Round robin to the backend servers, bypassing the nodes; the baseline. */
};

} // namespace savorywheel::load

#endif
