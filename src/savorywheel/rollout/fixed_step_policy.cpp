#include <savorywheel/rollout/fixed_step_policy.hpp>
#include <savorywheel/rollout/move_shares.hpp>
#include <savorywheel/rollout/step_schedule.hpp>

namespace savorywheel {

rollout_decision fixed_step_policy::decide(const rollout_view& view)
{
    const auto& move = *view.service.move;
    const auto next = next_progress(move, progress_of(move, view.service.weights));
    if (move.status != move_status::in_progress || view.now < scheduled_time(move, next)) {
        return {rollout_action::hold, {}, "waits for the schedule"};
    }
    const auto action =
        next >= weight_sum_permille ? rollout_action::finish : rollout_action::advance;
    return {action, shares_at(move, next), "by schedule"};
}

} // namespace savorywheel
