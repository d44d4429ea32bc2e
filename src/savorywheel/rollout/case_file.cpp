#include <savorywheel/rollout/case_file.hpp>
#include <savorywheel/rollout/move_shares.hpp>

#include <algorithm>

namespace savorywheel {

namespace {

/** Detectors estimate the old version's rate from earlier batches, so evidence is split up. */
constexpr std::uint64_t parts = 8;
/** A controller with at least 1/overlap_divisor of the earlier one's calls ran at the same time, so
 * an import would count calls twice. */
constexpr std::uint64_t overlap_divisor = 4;

std::uint64_t part_of(std::uint64_t count, std::uint64_t part)
{
    return count * (part + 1) / parts - count * part / parts;
}

route_evidence part_of(const route_evidence& item, std::uint64_t part)
{
    auto taken = item;
    taken.calls = part_of(item.calls, part);
    taken.failures = std::min(part_of(item.failures, part), taken.calls);
    std::vector<std::uint32_t> counts;
    for (const auto count : item.latencies.counts()) {
        counts.push_back(static_cast<std::uint32_t>(part_of(count, part)));
    }
    taken.latencies = latency_histogram{counts};
    return taken;
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

void case_file::add(std::span<const route_evidence> evidence)
{
    for (const auto& item : evidence) {
        sums_.add(item);
    }
}

std::vector<std::vector<route_evidence>> case_file::inherit(const rollout_move& move,
                                                            const move_case& earlier)
{
    if (earlier.asked_at != move.asked_at ||
        new_calls(move, sums_.all()) * overlap_divisor >= new_calls(move, earlier.evidence)) {
        return {};
    }
    add(earlier.evidence);
    std::vector<std::vector<route_evidence>> inherited(parts);
    for (std::uint64_t part = 0; part < parts; ++part) {
        for (const auto& item : earlier.evidence) {
            inherited[part].push_back(part_of(item, part));
        }
    }
    return inherited;
}

move_case case_file::summary(const rollout_move& move) const
{
    return {move.asked_at, sums_.all()};
}

} // namespace savorywheel
