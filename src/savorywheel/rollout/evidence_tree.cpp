#include <savorywheel/rollout/evidence_tree.hpp>

#include <xxhash.h>

#include <algorithm>
#include <string>
#include <utility>

namespace savorywheel {

namespace {

constexpr std::size_t first_inner_collector = controllers_per_service;
constexpr std::size_t first_leaf_collector = first_inner_collector + inner_collectors_per_service;
constexpr std::size_t role_count = first_leaf_collector + leaf_collectors_per_service;

std::uint64_t hash_of(const std::string& text)
{
    return XXH3_64bits(text.data(), text.size());
}

} // namespace

evidence_tree::evidence_tree(const service_name& service, std::span<const node_id> members)
{
    std::vector<std::pair<std::uint64_t, const node_id*>> ranks;
    ranks.reserve(members.size());
    for (const auto& member : members) {
        ranks.emplace_back(hash_of(service.str() + '/' + member.str()), &member);
    }
    const bool small = members.size() < min_aggregated_mesh_size;
    const auto count = std::min(small ? controllers_per_service : role_count, ranks.size());
    const auto middle = ranks.begin() + static_cast<std::ptrdiff_t>(count);
    std::ranges::partial_sort(ranks, middle, std::ranges::greater{},
                              &std::pair<std::uint64_t, const node_id*>::first);
    for (std::size_t i = 0; i < count; ++i) {
        ranked_.push_back(*ranks[i].second);
    }
}

std::span<const node_id> evidence_tree::controllers() const noexcept
{
    return std::span{ranked_}.first(std::min(controllers_per_service, ranked_.size()));
}

bool evidence_tree::is_controller(const node_id& node) const noexcept
{
    return rank_of(node) < controllers_per_service;
}

bool evidence_tree::is_receiver(const node_id& node) const noexcept
{
    return rank_of(node) < ranked_.size();
}

std::vector<node_id> evidence_tree::targets_of(const node_id& node) const
{
    const auto rank = rank_of(node);
    if (ranked_.size() < role_count || rank < first_leaf_collector) {
        const auto nodes = controllers();
        return {nodes.begin(), nodes.end()};
    }
    if (rank < role_count) {
        return {ranked_[first_inner_collector +
                        (rank - first_leaf_collector) % inner_collectors_per_service]};
    }
    return {ranked_[first_leaf_collector + hash_of(node.str()) % leaf_collectors_per_service]};
}

/** Returns the number of ranks if the node has no role. */
std::size_t evidence_tree::rank_of(const node_id& node) const noexcept
{
    return static_cast<std::size_t>(std::ranges::find(ranked_, node) - ranked_.begin());
}

} // namespace savorywheel
