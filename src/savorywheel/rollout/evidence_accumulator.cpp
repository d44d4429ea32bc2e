#include <savorywheel/rollout/evidence_accumulator.hpp>
#include <savorywheel/rollout/move_shares.hpp>

#include <algorithm>

namespace savorywheel {

namespace {

/** Detectors estimate the old version's rate from earlier batches, so evidence is split up. */
constexpr std::uint64_t replay_batches = 8;
/** A controller with at least 1/overlap_divisor of the earlier one's calls ran at the same time, so
 * an import would count calls twice. */
constexpr std::uint64_t overlap_divisor = 4;

std::uint64_t slice_of(std::uint64_t count, std::uint64_t batch)
{
    return count * (batch + 1) / replay_batches - count * batch / replay_batches;
}

route_evidence slice_of(const route_evidence& item, std::uint64_t batch)
{
    auto slice = item;
    slice.calls = slice_of(item.calls, batch);
    slice.failures = std::min(slice_of(item.failures, batch), slice.calls);
    std::vector<std::uint32_t> counts;
    for (const auto count : item.latencies.counts()) {
        counts.push_back(static_cast<std::uint32_t>(slice_of(count, batch)));
    }
    slice.latencies = latency_histogram{counts};
    return slice;
}

std::uint64_t new_calls(const rollout_move& move, std::span<const route_evidence> evidence)
{
    std::uint64_t calls = 0;
    for (const auto& item : evidence) {
        calls += gains_share(move, item.version) ? item.calls : 0;
    }
    return calls;
}

} // namespace

void evidence_accumulator::add(std::span<const route_evidence> evidence)
{
    for (const auto& item : evidence) {
        sums_.add(item);
    }
}

std::vector<std::vector<route_evidence>>
evidence_accumulator::import_predecessor(const rollout_move& move, const move_evidence& predecessor)
{
    if (predecessor.asked_at != move.asked_at ||
        new_calls(move, sums_.all()) * overlap_divisor >= new_calls(move, predecessor.evidence)) {
        return {};
    }
    add(predecessor.evidence);
    std::vector<std::vector<route_evidence>> batches(replay_batches);
    for (std::uint64_t batch = 0; batch < replay_batches; ++batch) {
        for (const auto& item : predecessor.evidence) {
            batches[batch].push_back(slice_of(item, batch));
        }
    }
    return batches;
}

move_evidence evidence_accumulator::summary(const rollout_move& move) const
{
    return {move.asked_at, sums_.all()};
}

} // namespace savorywheel
