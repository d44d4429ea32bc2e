#ifndef SAVORYWHEEL_APPS_LOAD_CHANGE_LISTENER_HPP
#define SAVORYWHEEL_APPS_LOAD_CHANGE_LISTENER_HPP

#include <savorywheel/core/clock.hpp>
#include <savorywheel/core/config_version.hpp>

#include <optional>

namespace savorywheel::load {

/** @brief Observes when a configuration version has reached all of its receivers. */
class change_listener {
public:
    change_listener() = default;
    change_listener(const change_listener&) = delete;
    change_listener& operator=(const change_listener&) = delete;
    change_listener(change_listener&&) = delete;
    change_listener& operator=(change_listener&&) = delete;
    virtual ~change_listener() = default;

    /** @return Time at which the last receiver got the version; empty while one lacks it. */
    [[nodiscard]] virtual std::optional<calendar_time> complete_at(config_version version) = 0;
};

} // namespace savorywheel::load

#endif
