#include <savorywheel/rollout/evidence_policy.hpp>
#include <savorywheel/rollout/move_shares.hpp>
#include <savorywheel/rollout/step_schedule.hpp>

#include <fmt/format.h>

#include <utility>

namespace savorywheel {

namespace {

constexpr std::uint64_t early_step_calls = 200;
constexpr double early_step_max_score_ratio = 0.25;
constexpr double hold_min_score_ratio = 0.5;
/** A version that few calls have reached gathers its evidence faster at its present share. */
constexpr std::uint64_t min_calls_to_step_back = 50;

/** Above this share no step is skipped, even when late, so that a faulty version is detected while
 * its share is small. */
constexpr std::uint32_t max_skip_target_permille = 200;

/** Describes what the decision rests on. */
std::string describe(const fault_monitor& monitor, double threshold)
{
    return fmt::format(
        "{} calls of the new version, {} of them failed; the old version failed {} of {}; "
        "fault score {:.1f} of {:.1f}",
        monitor.new_calls().calls, monitor.new_calls().hits, monitor.old_calls().hits,
        monitor.old_calls().calls, monitor.strongest().score, threshold);
}

/** The next step, or the one after it if that one is due by schedule. */
std::uint32_t target_step(const rollout_move& move, std::uint32_t progress, calendar_time now)
{
    const auto next = next_progress(move, progress);
    const auto second = next_progress(move, next);
    const bool skip =
        progress > 0 && second <= max_skip_target_permille && now >= scheduled_time(move, second);
    return skip ? second : next;
}

} // namespace

rollout_decision evidence_policy::decide(const rollout_view& view)
{
    update_step_start(view);
    monitor_.observe(view);
    const auto& finding = monitor_.strongest();
    threshold_ = fault_threshold(*view.service.move, monitor_.stratum_count(), 1);
    const auto score_ratio = finding.score / threshold_;
    const auto& move = *view.service.move;
    if (score_ratio >= 1.0) {
        return {rollout_action::withdraw, move.from,
                finding.description + "; after " + describe(monitor_, threshold_)};
    }
    if (move.status == move_status::done) {
        return {rollout_action::hold, {}, "the target is in force"};
    }
    const bool late = view.now >= finish_time(move);
    if (late && score_ratio >= hold_min_score_ratio) {
        return {rollout_action::withdraw, move.from,
                "suspected until the deadline: " + finding.description + "; after " +
                    describe(monitor_, threshold_)};
    }
    return decide_step(view, score_ratio);
}

rollout_decision evidence_policy::decide_step(const rollout_view& view, double score_ratio)
{
    const auto& move = *view.service.move;
    const auto progress = *progress_;
    // An order back to the version that carries the traffic has nothing to try.
    const bool needs_new_servers = move.from != move.to;
    if (view.new_servers == 0 && needs_new_servers) {
        return {rollout_action::hold, {}, "no backend server of the new version serves"};
    }
    if (score_ratio >= hold_min_score_ratio) {
        return decide_suspected(move, progress);
    }
    if (progress >= weight_sum_permille) {
        return finish(view);
    }
    if (!step_due(view, progress) && !early_step_allowed(view, score_ratio)) {
        return {rollout_action::hold, {}, "waits for evidence or the schedule"};
    }
    const auto next = target_step(move, progress, view.now);
    auto reason = fmt::format("{}.{} % of the move after {}", next / 10, next % 10,
                              describe(monitor_, threshold_));
    return {rollout_action::advance, shares_at(move, next), std::move(reason)};
}

rollout_decision evidence_policy::decide_suspected(const rollout_move& move,
                                                   std::uint32_t progress) const
{
    auto reason = monitor_.strongest().description + "; after " + describe(monitor_, threshold_);
    const auto previous = previous_progress(move, progress);
    if (previous >= progress || monitor_.new_calls().calls < min_calls_to_step_back) {
        return {rollout_action::hold, {}, std::move(reason), true};
    }
    return {rollout_action::advance, shares_at(move, previous),
            fmt::format("back to {}.{} % of the move: {}", previous / 10, previous % 10, reason),
            true};
}

/** Backend servers of the old versions may stop once a move is done, so calls in flight complete
 * first. */
rollout_decision evidence_policy::finish(const rollout_view& view) const
{
    if (view.now - step_at_ < drain_time) {
        return {rollout_action::hold, {}, "the old versions finish their calls"};
    }
    return {rollout_action::finish, view.service.move->to,
            "in force after " + describe(monitor_, threshold_)};
}

bool evidence_policy::step_due(const rollout_view& view, std::uint32_t progress) const
{
    const auto& move = *view.service.move;
    return progress == 0 || (view.now >= scheduled_time(move, next_progress(move, progress)) &&
                             view.now - step_at_ >= min_step_interval);
}

bool evidence_policy::early_step_allowed(const rollout_view& view, double score_ratio) const
{
    return score_ratio < early_step_max_score_ratio &&
           monitor_.new_calls().calls - calls_at_step_ >= early_step_calls &&
           view.now - step_at_ >= early_step_interval(*view.service.move);
}

/** Restarts the step's time and call count if the shares in force have changed. */
void evidence_policy::update_step_start(const rollout_view& view)
{
    const auto progress = progress_of(*view.service.move, view.service.weights);
    if (progress_ != progress) {
        progress_ = progress;
        step_at_ = view.now;
        calls_at_step_ = monitor_.new_calls().calls;
    }
}

} // namespace savorywheel
