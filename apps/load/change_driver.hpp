#ifndef SAVORYWHEEL_APPS_LOAD_CHANGE_DRIVER_HPP
#define SAVORYWHEEL_APPS_LOAD_CHANGE_DRIVER_HPP

#include <savorywheel/core/system_clock_source.hpp>

#include <load/bench_mesh.hpp>
#include <load/change_result.hpp>
#include <load/convergence_observer.hpp>

#include <optional>

namespace savorywheel::load {

/** @brief Applies configuration changes and measures their convergence. */
class change_driver {
public:
    /**
     * @param mesh Mesh to change; must outlive this object.
     * @param extra_services Number of services without backend servers in each configuration.
     */
    change_driver(bench_mesh& mesh, std::size_t extra_services) noexcept
        : mesh_{mesh}, extra_services_{extra_services}
    {
    }

    /**
     * @brief Applies one change and waits for its convergence.
     * @param observer Reports the time of convergence.
     * @param writer Index of the node that accepts the change; round robin if absent.
     * @return Times of the change; empty if it was refused or did not converge before the timeout.
     */
    [[nodiscard]] std::optional<change_result> change(convergence_observer& observer,
                                                      std::optional<std::size_t> writer = {});

private:
    bench_mesh& mesh_;
    std::size_t extra_services_;
    std::size_t change_count_{};
    system_clock_source time_;
};

} // namespace savorywheel::load

#endif
