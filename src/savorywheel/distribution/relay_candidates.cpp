#include <savorywheel/distribution/relay_candidates.hpp>

#include <xxhash.h>

#include <algorithm>

namespace savorywheel {

namespace {

std::uint64_t rank_of(const node_id& member)
{
    return XXH3_64bits(member.str().data(), member.str().size());
}

} // namespace

bool is_relay_candidate(const member_record& self, const member_table& members)
{
    const auto own = rank_of(self.id);
    const auto earlier = std::ranges::count_if(members.live(), [&](const auto* item) {
        const auto& record = item->update.record;
        return record.domain == self.domain && rank_of(record.id) < own;
    });
    return static_cast<std::size_t>(earlier) < relay_candidate_count;
}

} // namespace savorywheel
