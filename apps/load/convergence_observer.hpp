#ifndef SAVORYWHEEL_APPS_LOAD_CONVERGENCE_OBSERVER_HPP
#define SAVORYWHEEL_APPS_LOAD_CONVERGENCE_OBSERVER_HPP

#include <savorywheel/core/clock.hpp>
#include <savorywheel/core/config_version.hpp>

#include <optional>

namespace savorywheel::load {

/** @brief Observes when a configuration version has reached all of its receivers. */
class convergence_observer {
public:
    convergence_observer() = default;
    convergence_observer(const convergence_observer&) = delete;
    convergence_observer& operator=(const convergence_observer&) = delete;
    convergence_observer(convergence_observer&&) = delete;
    convergence_observer& operator=(convergence_observer&&) = delete;
    virtual ~convergence_observer() = default;

    /** @return Time at which the last receiver got the version; empty while one lacks it. */
    [[nodiscard]] virtual std::optional<calendar_time> converged_at(config_version version) = 0;
};

} // namespace savorywheel::load

#endif
