#ifndef SAVORYWHEEL_ROLLOUT_EVIDENCE_POLICY_HPP
#define SAVORYWHEEL_ROLLOUT_EVIDENCE_POLICY_HPP

#include <savorywheel/rollout/fault_monitor.hpp>
#include <savorywheel/rollout/rollout_policy.hpp>

#include <cstdint>
#include <optional>

namespace savorywheel {

/**
 * @brief Increases the new version's share in steps, by evidence and by schedule.
 *
 * Withdraws the move as soon as the fault score of the new version reaches the threshold. A step
 * is taken early after enough calls with a low score, otherwise by schedule. While the score is
 * elevated, but below the threshold, steps are taken back to the first one, as the version must not
 * gather its evidence at a large share; if it persists at the scheduled finish, the move is
 * withdrawn.
 */
class evidence_policy final : public rollout_policy {
public:
    [[nodiscard]] rollout_decision decide(const rollout_view& view) override;

private:
    [[nodiscard]] rollout_decision decide_step(const rollout_view& view, double score_ratio);
    [[nodiscard]] rollout_decision decide_suspected(const rollout_move& move,
                                                    std::uint32_t progress) const;
    [[nodiscard]] rollout_decision finish(const rollout_view& view) const;
    [[nodiscard]] bool step_due(const rollout_view& view, std::uint32_t progress) const;
    [[nodiscard]] bool early_step_allowed(const rollout_view& view, double score_ratio) const;
    void update_step_start(const rollout_view& view);

    fault_monitor monitor_;
    double threshold_{};
    std::optional<std::uint32_t> progress_;
    calendar_time step_at_{};
    std::uint64_t calls_at_step_{};
};

} // namespace savorywheel

#endif
