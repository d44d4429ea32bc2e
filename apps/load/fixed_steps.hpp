#ifndef SAVORYWHEEL_APPS_LOAD_FIXED_STEPS_HPP
#define SAVORYWHEEL_APPS_LOAD_FIXED_STEPS_HPP

#include <savorywheel/core/clock.hpp>

#include <load/bench_mesh.hpp>

#include <cstddef>
#include <string>

namespace savorywheel::load {

/**
 * @brief The baseline of rollouts: shares that grow by schedule, whatever the new version does.
 *
 * The steps are set as overrides, so that the mesh's own control of moves stays out of it.
 */
class fixed_steps {
public:
    /**
     * @param mesh The mesh; must outlive this object.
     * @param service Service.
     * @param from Version that has the traffic.
     * @param to Version that gets the traffic.
     */
    fixed_steps(bench_mesh& mesh, std::string service, std::string from, std::string to);

    /**
     * @brief Sets the share that is due.
     * @param elapsed Time since the start.
     * @param total_duration Time in which all steps are done.
     */
    void advance(duration elapsed, duration total_duration);

    /** @brief Gives the service back to the operators' text. */
    void release();

    /** @return True if the mesh took all steps so far. */
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
