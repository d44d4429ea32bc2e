#include <savorywheel/config/name_rules.hpp>
#include <savorywheel/config/rollout_record_rules.hpp>

#include <algorithm>
#include <numeric>
#include <span>

namespace savorywheel {

namespace {

std::uint64_t sum_of(std::span<const version_weight> weights)
{
    return std::accumulate(
        weights.begin(), weights.end(), std::uint64_t{0},
        [](std::uint64_t sum, const version_weight& item) { return sum + item.permille; });
}

bool are_versions(std::span<const version_weight> weights)
{
    return std::ranges::all_of(
        weights, [](const version_weight& item) { return is_key_segment(item.version.str()); });
}

bool is_partition(std::span<const version_weight> weights)
{
    const auto sum = sum_of(weights);
    return weights.empty() || (sum > 0 && sum <= weight_sum_permille);
}

} // namespace

outcome<bool> check_record(const rollout_record& record)
{
    const auto& move = record.move;
    if (!are_versions(move.from) || !are_versions(move.to) || !are_versions(record.weights)) {
        return failure{failure_code::malformed, "invalid version in the record of a rollout"};
    }
    if (sum_of(move.to) != weight_sum_permille || !is_partition(move.from) ||
        !is_partition(record.weights)) {
        return failure{failure_code::malformed, "invalid weights in the record of a rollout"};
    }
    return true;
}

} // namespace savorywheel
