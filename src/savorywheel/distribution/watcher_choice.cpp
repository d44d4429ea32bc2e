#include <savorywheel/distribution/watcher_choice.hpp>

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <limits>
#include <map>

namespace savorywheel {

namespace {

using region_watchers = std::array<std::uint64_t, watchers_per_region>;

constexpr auto no_watcher = std::numeric_limits<std::uint64_t>::max();

/** Other hashes of the id choose the relays and the shards, which should be other nodes. */
constexpr std::uint64_t hash_seed = 35;

std::uint64_t rank_of(const node_id& node)
{
    return XXH3_64bits_withSeed(node.str().data(), node.str().size(), hash_seed);
}

/** Keeps the lowest hashes, in ascending order. */
void add(region_watchers& watchers, std::uint64_t hash)
{
    for (auto& item : watchers) {
        if (hash < item) {
            std::swap(hash, item);
        }
    }
}

} // namespace

watcher_choice choose_watchers(const member_record& self, const member_table& members)
{
    region_watchers none;
    none.fill(no_watcher);
    std::map<region_name, region_watchers> regions;
    std::size_t others = 0;
    for (const auto* item : members.live()) {
        const auto& record = item->update.record;
        if (record.id == self.id) {
            continue;
        }
        ++others;
        if (record.store_reachable) {
            add(regions.try_emplace(record.region, none).first->second, rank_of(record.id));
        }
    }
    if (others == 0) {
        return {watch_role::alone, 0};
    }
    if (others < max_mesh_of_watchers) {
        return {watch_role::everyone, 0};
    }
    if (!self.store_reachable) {
        return {watch_role::follower, 0};
    }
    const auto own = rank_of(self.id);
    auto& neighbours = regions.try_emplace(self.region, none).first->second;
    if (own >= neighbours.back()) {
        return {watch_role::follower, 0};
    }
    add(neighbours, own);
    watcher_choice choice{watch_role::watcher, 0};
    for (const auto& [region, watchers] : regions) {
        choice.rank += static_cast<std::size_t>(
            std::ranges::count_if(watchers, [own](auto hash) { return hash < own; }));
    }
    return choice;
}

} // namespace savorywheel
