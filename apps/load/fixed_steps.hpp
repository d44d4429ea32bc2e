#ifndef SAVORYWHEEL_APPS_LOAD_FIXED_STEPS_HPP
#define SAVORYWHEEL_APPS_LOAD_FIXED_STEPS_HPP

#include <savorywheel/core/clock.hpp>

#include <load/bench_mesh.hpp>

#include <cstddef>
#include <string>

namespace savorywheel::load {

/**
 * @brief Rollout baseline: raises the share on a fixed schedule, whether or not calls fail.
 *
 * Sets the steps as overrides, so that the rollout controllers of the mesh do not interfere.
 */
class fixed_steps {
public:
    /**
     * @param mesh Mesh to change; must outlive this object.
     * @param service Service to move.
     * @param from Version that carries the traffic at the start.
     * @param to Version that carries the traffic after the last step.
     */
    fixed_steps(bench_mesh& mesh, std::string service, std::string from, std::string to);

    /**
     * @brief Sets the share for the elapsed time unless it is already set.
     * @param elapsed Time since the start.
     * @param total_duration Time from the first step to the last.
     */
    void advance(duration elapsed, duration total_duration);

    /** @brief Releases the override, so that the configuration text applies again. */
    void release();

    /** @return True if the mesh has accepted every step so far. */
    [[nodiscard]] bool accepted() const noexcept { return accepted_; }

private:
    bench_mesh& mesh_;
    std::string service_;
    std::string from_;
    std::string to_;
    std::size_t steps_done_{};
    bool accepted_{true};
};

} // namespace savorywheel::load

#endif
