#ifndef SAVORYWHEEL_DISTRIBUTION_CONFIGURATION_LISTENER_HPP
#define SAVORYWHEEL_DISTRIBUTION_CONFIGURATION_LISTENER_HPP

#include <savorywheel/config/mesh_state.hpp>
#include <savorywheel/core/failure.hpp>

namespace savorywheel {

/** @brief Receives new configuration versions on the control thread. */
class configuration_listener {
public:
    configuration_listener() = default;
    configuration_listener(const configuration_listener&) = delete;
    configuration_listener& operator=(const configuration_listener&) = delete;
    configuration_listener(configuration_listener&&) = delete;
    configuration_listener& operator=(configuration_listener&&) = delete;
    virtual ~configuration_listener() = default;

    /** @brief Called when a newer configuration has been applied to the local log. */
    virtual void on_configuration(const mesh_state& state) = 0;

    /** @brief Called when the next commit cannot be applied; the node stays at its version. */
    virtual void on_bad_commit(const failure& reason) = 0;
};

} // namespace savorywheel

#endif
