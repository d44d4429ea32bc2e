#ifndef SAVORYWHEEL_DISTRIBUTION_FLOOR_LISTENER_HPP
#define SAVORYWHEEL_DISTRIBUTION_FLOOR_LISTENER_HPP

#include <savorywheel/core/config_version.hpp>

namespace savorywheel {

/** @brief Hears which versions a node may use, on the control thread. */
class floor_listener {
public:
    floor_listener() = default;
    floor_listener(const floor_listener&) = delete;
    floor_listener& operator=(const floor_listener&) = delete;
    floor_listener(floor_listener&&) = delete;
    floor_listener& operator=(floor_listener&&) = delete;
    virtual ~floor_listener() = default;

    /** @brief Hears that the node now knows its floor after its start. */
    virtual void on_floor_known(config_version floor) = 0;

    /** @brief Hears that the version may be used. */
    virtual void on_version_usable(config_version version) = 0;

    /** @brief Hears that too few buddies answer; called once until it has changed. */
    virtual void on_floor_delayed(config_version version) = 0;

    /** @brief Hears that the version is used without a floor, as there is no live member. */
    virtual void on_floor_skipped(config_version version) = 0;
};

} // namespace savorywheel

#endif
