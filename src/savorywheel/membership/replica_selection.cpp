#include <savorywheel/membership/replica_selection.hpp>

#include <xxhash.h>

#include <algorithm>
#include <map>
#include <span>

namespace savorywheel {

namespace {

struct candidate {
    std::size_t round{};
    std::uint64_t hash{};
    const member_record* record{};
};

std::uint64_t rendezvous_hash(const node_id& owner, const node_id& member)
{
    const auto seed = XXH3_64bits(owner.str().data(), owner.str().size());
    return XXH3_64bits_withSeed(member.str().data(), member.str().size(), seed);
}

/** Assigns the n-th member of each failure domain to round n; the own failure domain comes last. */
void assign_rounds(std::vector<candidate>& candidates, const failure_domain& own)
{
    std::map<failure_domain, std::size_t> rounds;
    for (auto& item : candidates) {
        item.round = rounds[item.record->domain]++;
        if (item.record->domain == own) {
            item.round += candidates.size();
        }
    }
}

} // namespace

std::vector<member_record> select_replicas(const member_record& self, const member_table& members,
                                           bool include_dead)
{
    std::vector<const member_record*> candidates;
    for (const auto& [id, item] : members.entries()) {
        if (id != self.id && (include_dead || item.update.status != member_status::dead)) {
            candidates.push_back(&item.update.record);
        }
    }
    return select_replicas(self, candidates, replica_count);
}

std::vector<member_record> select_replicas(const member_record& self,
                                           std::span<const member_record* const> candidates,
                                           std::size_t count)
{
    std::vector<candidate> ranked;
    ranked.reserve(candidates.size());
    for (const auto* record : candidates) {
        ranked.push_back({0, rendezvous_hash(self.id, record->id), record});
    }
    std::ranges::sort(ranked, {}, &candidate::hash);
    assign_rounds(ranked, self.domain);
    std::ranges::stable_sort(ranked, {}, &candidate::round);
    std::vector<member_record> replicas;
    for (const auto& item : std::span{ranked}.first(std::min(ranked.size(), count))) {
        replicas.push_back(*item.record);
    }
    return replicas;
}

} // namespace savorywheel
