#ifndef SAVORYWHEEL_DISTRIBUTION_FLOOR_LISTENER_HPP
#define SAVORYWHEEL_DISTRIBUTION_FLOOR_LISTENER_HPP

#include <savorywheel/core/config_version.hpp>

namespace savorywheel {

/** @brief Receives the decisions of floor_coordinator on the control thread. */
class floor_listener {
public:
    floor_listener() = default;
    floor_listener(const floor_listener&) = delete;
    floor_listener& operator=(const floor_listener&) = delete;
    floor_listener(floor_listener&&) = delete;
    floor_listener& operator=(floor_listener&&) = delete;
    virtual ~floor_listener() = default;

    /** @brief Called when the floor has been recovered after a restart. */
    virtual void on_floor_known(config_version floor) = 0;

    virtual void on_version_usable(config_version version) = 0;

    /** @brief Called once per version if too few replicas acknowledge it in time. */
    virtual void on_floor_delayed(config_version version) = 0;

    /** @brief Called if a version is used without replicas because no other member is alive. */
    virtual void on_floor_skipped(config_version version) = 0;
};

} // namespace savorywheel

#endif
