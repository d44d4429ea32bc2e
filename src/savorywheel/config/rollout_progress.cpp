#include <savorywheel/config/rollout_progress.hpp>

#include <algorithm>

namespace savorywheel {

std::uint64_t rollout_progress(const rollout_order& order)
{
    if (!order.record) {
        return 0;
    }
    switch (order.record->move.status) {
    case move_status::done:
        return weight_sum_permille + 3;
    case move_status::withdrawn:
        return weight_sum_permille + 2;
    case move_status::in_progress:
        break;
    }
    const auto& weights = order.record->weights;
    const auto target = std::ranges::find(weights, order.target, &version_weight::version);
    return 1 + (target == weights.end() ? 0 : target->permille);
}

bool is_same_rollout(const rollout_order& left, const rollout_order& right)
{
    return left.service == right.service && left.target == right.target &&
           left.duration == right.duration;
}

} // namespace savorywheel
