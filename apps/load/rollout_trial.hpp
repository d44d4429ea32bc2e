#ifndef SAVORYWHEEL_APPS_LOAD_ROLLOUT_TRIAL_HPP
#define SAVORYWHEEL_APPS_LOAD_ROLLOUT_TRIAL_HPP

#include <savorywheel/core/system_clock_source.hpp>

#include <load/bench_mesh.hpp>
#include <load/figure_list.hpp>
#include <load/fixed_steps.hpp>
#include <load/move_observation.hpp>
#include <load/sample_set.hpp>

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace savorywheel::load {

/**
 * @brief Rolls out good and faulty versions concurrently under load.
 *
 * Half of the backend servers of each service run version "v2". In each round one service moves to
 * a good version, one to a faulty version, and a third one to a faulty version in fixed steps, the
 * baseline. The faults start with the round in even rounds and some seconds after the move in odd
 * ones.
 */
class rollout_trial {
public:
    /**
     * @param mesh Mesh to test; must outlive this object.
     * @param rounds Number of rounds.
     */
    rollout_trial(bench_mesh& mesh, unsigned rounds) noexcept : mesh_{mesh}, rounds_{rounds} {}

    /** @brief Runs all rounds; returns no figures if the versions could not be started. */
    [[nodiscard]] figure_list run();

private:
    [[nodiscard]] bool start_versions();
    void run_round(unsigned round);
    void wait_for_end(std::array<move_observation, 3>& moves, fixed_steps& steps);
    void set_fault(const move_observation& move, unsigned fail_permille);
    [[nodiscard]] bool apply(const std::map<std::string, std::string>& versions, bool with_due);
    [[nodiscard]] std::array<move_observation, 3> plan_moves(unsigned round) const;
    void start_faults(std::span<move_observation> moves, monotonic_time now);
    void observe(std::span<move_observation> moves);
    void count(const std::array<move_observation, 3>& moves, bool baseline_valid);
    void clean_up(std::span<const move_observation> moves);
    [[nodiscard]] figure_list report() const;

    bench_mesh& mesh_;
    unsigned rounds_;
    system_clock_source time_;
    std::map<std::string, std::string> current_;
    calendar_time due_{};
    std::uint64_t good_{};
    std::uint64_t good_on_time_{};
    std::uint64_t bad_{};
    std::uint64_t bad_withdrawn_{};
    sample_set good_seconds_;
    sample_set withdraw_seconds_;
    sample_set bad_failed_calls_;
    sample_set good_failed_calls_;
    sample_set baseline_failed_calls_;
    sample_set failed_ratio_;
};

} // namespace savorywheel::load

#endif
