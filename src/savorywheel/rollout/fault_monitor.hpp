#ifndef SAVORYWHEEL_ROLLOUT_FAULT_MONITOR_HPP
#define SAVORYWHEEL_ROLLOUT_FAULT_MONITOR_HPP

#include <savorywheel/rollout/fault_finding.hpp>
#include <savorywheel/rollout/rollout_view.hpp>
#include <savorywheel/rollout/route_monitor.hpp>
#include <savorywheel/rollout/route_stratum.hpp>

#include <map>
#include <optional>

namespace savorywheel {

/** @brief Detects faults of the new version of one move, per route and distance. */
class fault_monitor {
public:
    /**
     * @brief Evaluates the evidence of one period.
     * @param view Evidence and state of a service with a move.
     */
    void observe(const rollout_view& view);

    /** @return The strongest evidence against the new version. */
    [[nodiscard]] const fault_finding& strongest() const noexcept { return strongest_; }

    /** @return Calls of the new version so far, with failures as hits. */
    [[nodiscard]] const sample_counts& new_calls() const noexcept { return new_calls_; }

    /** @return Calls of the old versions so far, with failures as hits. */
    [[nodiscard]] const sample_counts& old_calls() const noexcept { return old_calls_; }

    /** @return Routes and distances with calls, for fault_threshold(). */
    [[nodiscard]] std::size_t stratum_count() const noexcept { return routes_.size(); }

private:
    [[nodiscard]] bool warmed_up(const rollout_view& view) const;

    std::map<route_stratum, route_monitor> routes_;
    std::optional<calendar_time> first_new_call_;
    calendar_time latency_evaluated_at_{};
    sample_counts new_calls_;
    sample_counts old_calls_;
    fault_finding strongest_;
};

/**
 * @brief Score at which the new version is considered faulty.
 *
 * A version without a fault reaches it in at most one of a hundred moves, half of them after the
 * move is done, regardless of the number of evaluations.
 * @param move Move that introduces the version.
 * @param stratum_count Routes and distances that are compared.
 * @param monitor_count Monitors that evaluate the same move independently.
 */
[[nodiscard]] double fault_threshold(const rollout_move& move, std::size_t stratum_count,
                                     std::size_t monitor_count);

} // namespace savorywheel

#endif
