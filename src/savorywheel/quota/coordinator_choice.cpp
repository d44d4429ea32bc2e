#include <savorywheel/quota/coordinator_choice.hpp>

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace savorywheel {

namespace {

/** Members that reach the store precede all others, which serve only if none reaches it. */
using rank = std::pair<bool, std::uint64_t>;

rank rank_of(std::uint32_t shard, const member_record& member)
{
    const auto& name = member.id.str();
    return {member.store_reachable, XXH3_64bits_withSeed(name.data(), name.size(), shard)};
}

} // namespace

bool is_coordinator_candidate(std::uint32_t shard, const member_record& self,
                              const member_table& members)
{
    const auto own = rank_of(shard, self);
    std::size_t higher = 0;
    // Ends early at almost all nodes, so that the cost does not grow with shards times members.
    return std::ranges::none_of(members.live(), [&](const auto* item) {
        const auto& record = item->update.record;
        higher += record.id != self.id && rank_of(shard, record) > own ? 1 : 0;
        return higher >= coordinator_candidate_count;
    });
}

std::vector<network_endpoint> coordinator_candidates(std::uint32_t shard,
                                                     const member_table& members)
{
    std::vector<std::pair<rank, network_endpoint>> first;
    for (const auto* item : members.live()) {
        const auto& record = item->update.record;
        const auto own = rank_of(shard, record);
        if (first.size() == coordinator_candidate_count && first.back().first >= own) {
            continue;
        }
        first.emplace_back(own, record.peer);
        std::ranges::sort(first, std::greater{}, [](const auto& entry) { return entry.first; });
        first.resize(std::min(first.size(), coordinator_candidate_count));
    }
    std::vector<network_endpoint> peers;
    peers.reserve(first.size());
    for (auto& entry : first) {
        peers.push_back(std::move(entry.second));
    }
    return peers;
}

} // namespace savorywheel
