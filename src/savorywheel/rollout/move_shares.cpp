#include <savorywheel/rollout/move_shares.hpp>

#include <algorithm>

namespace savorywheel {

namespace {

std::uint32_t gained_share(const rollout_move& move, std::span<const version_weight> weights)
{
    std::uint32_t sum = 0;
    for (const auto& target : move.to) {
        const auto before = share_of(move.from, target.version);
        const auto now = share_of(weights, target.version);
        if (target.permille > before && now > before) {
            sum += now - before;
        }
    }
    return sum;
}

/** Rounds up, so that any progress above zero results in a share. */
std::uint32_t scaled_share(std::uint32_t amount, std::uint32_t progress)
{
    return (amount * progress + weight_sum_permille - 1) / weight_sum_permille;
}

/** Subtracts the amount that other versions gained from the losing versions, in their order. */
void subtract_from_losing_versions(const rollout_move& move, std::uint32_t amount,
                                   std::vector<version_weight>& weights)
{
    for (const auto& old : move.from) {
        const auto kept = share_of(move.to, old.version);
        auto share = old.permille;
        if (share > kept) {
            const auto taken = std::min(amount, share - kept);
            share -= taken;
            amount -= taken;
        }
        if (kept <= old.permille && (share > 0 || kept > 0)) {
            weights.push_back({old.version, share});
        }
    }
}

} // namespace

std::vector<version_weight> shares_at(const rollout_move& move, std::uint32_t progress)
{
    if (progress == 0) {
        return move.from;
    }
    if (progress >= weight_sum_permille) {
        return move.to;
    }
    std::vector<version_weight> gaining;
    std::uint32_t amount = 0;
    for (const auto& target : move.to) {
        const auto before = share_of(move.from, target.version);
        if (target.permille > before) {
            const auto gained = scaled_share(target.permille - before, progress);
            amount += gained;
            gaining.push_back({target.version, before + gained});
        }
    }
    std::vector<version_weight> weights;
    subtract_from_losing_versions(move, amount, weights);
    weights.insert(weights.end(), gaining.begin(), gaining.end());
    return weights;
}

std::uint32_t progress_of(const rollout_move& move, std::span<const version_weight> weights)
{
    const auto total_gain = gained_share(move, move.to);
    return total_gain == 0 ? weight_sum_permille
                           : gained_share(move, weights) * weight_sum_permille / total_gain;
}

std::uint32_t share_of(std::span<const version_weight> weights,
                       const version_name& version) noexcept
{
    const auto found = std::ranges::find(weights, version, &version_weight::version);
    return found == weights.end() ? 0 : found->permille;
}

bool gains_share(const rollout_move& move, const version_name& version) noexcept
{
    return share_of(move.to, version) > share_of(move.from, version);
}

bool loses_share(const rollout_move& move, const version_name& version) noexcept
{
    return share_of(move.to, version) < share_of(move.from, version);
}

} // namespace savorywheel
