#ifndef SAVORYWHEEL_APPS_LOAD_CHANGE_DRIVER_HPP
#define SAVORYWHEEL_APPS_LOAD_CHANGE_DRIVER_HPP

#include <savorywheel/core/system_clock_source.hpp>

#include <load/bench_mesh.hpp>
#include <load/change_result.hpp>
#include <load/convergence_observer.hpp>

#include <optional>

namespace savorywheel::load {

/** @brief Makes changes of configuration and measures when they are in force everywhere. */
class change_driver {
public:
    /**
     * @param mesh The mesh; must outlive the driver.
     * @param extra_services Services without backend servers in each text.
     */
    change_driver(bench_mesh& mesh, std::size_t extra_services) noexcept
        : mesh_{mesh}, extra_services_{extra_services}
    {
    }

    /**
     * @brief Makes one change and waits until all listeners have it.
     * @param observer Who must have it.
     * @param writer Node that takes the change; by turns if absent.
     * @return Times of the change; nothing if it was refused, or not in force in time.
     */
    [[nodiscard]] std::optional<change_result> change(convergence_observer& observer,
                                                      std::optional<std::size_t> writer = {});

private:
    bench_mesh& mesh_;
    std::size_t extra_services_;
    std::size_t edit_{};
    system_clock_source time_;
};

} // namespace savorywheel::load

#endif
