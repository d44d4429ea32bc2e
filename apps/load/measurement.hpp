#ifndef SAVORYWHEEL_APPS_LOAD_MEASUREMENT_HPP
#define SAVORYWHEEL_APPS_LOAD_MEASUREMENT_HPP

#include <load/bench_mesh.hpp>
#include <load/call_sample.hpp>
#include <load/change_driver.hpp>
#include <load/measure_options.hpp>
#include <load/measurement_result.hpp>
#include <load/node_log_observer.hpp>
#include <load/sample_set.hpp>

#include <chrono>
#include <string_view>
#include <vector>

namespace savorywheel::load {

/** @brief Benchmarks convergence, cost, added latency and rollouts of a mesh against baselines. */
class measurement {
public:
    /**
     * @param options Scope of the run.
     * @param layout Deployment to start.
     */
    measurement(measure_options options, const deployment& layout);

    /** @brief Runs all measurements; the result lists those that failed as faults. */
    [[nodiscard]] measurement_result run();

private:
    /** Samples of one phase of a round: changes through the mesh or through store watches. */
    struct phase_samples {
        sample_set convergence_ms;
        sample_set total_ms;
        double bytes_per_change{};
        double store_calls_per_second{};
    };

    void measure_convergence();
    void add_convergence(std::string_view name, const std::vector<phase_samples>& phases);
    void add_ratios(const std::vector<phase_samples>& mesh,
                    const std::vector<phase_samples>& baseline);
    [[nodiscard]] phase_samples measure_mesh_phase();
    [[nodiscard]] phase_samples measure_watch_phase();
    void make_changes(convergence_observer& observer, phase_samples& phase);
    void wait_for_membership();
    void generate(std::chrono::seconds period, std::vector<call_sample>& samples);
    void measure_idle();
    void measure_load();
    void measure_domain_restart();
    void measure_rollouts();
    void progress(std::string_view text) const;

    measure_options options_;
    bench_mesh mesh_;
    node_log_observer logs_;
    change_driver changes_;
    measurement_result result_;
    monotonic_time started_;
};

} // namespace savorywheel::load

#endif
