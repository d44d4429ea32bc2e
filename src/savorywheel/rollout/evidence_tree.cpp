#include <savorywheel/rollout/evidence_tree.hpp>

#include <xxhash.h>

#include <algorithm>
#include <string>
#include <utility>

namespace savorywheel {

namespace {

constexpr std::size_t first_collector = controllers_per_service;
constexpr std::size_t first_leaf = first_collector + collectors_per_service;
constexpr std::size_t roles = first_leaf + leaves_per_service;

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
    const bool small = members.size() < smallest_collected_mesh;
    const auto count = std::min(small ? controllers_per_service : roles, ranks.size());
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

bool evidence_tree::controls(const node_id& node) const noexcept
{
    return rank_of(node) < controllers_per_service;
}

bool evidence_tree::receives(const node_id& node) const noexcept
{
    return rank_of(node) < ranked_.size();
}

std::vector<node_id> evidence_tree::targets_of(const node_id& node) const
{
    const auto rank = rank_of(node);
    if (ranked_.size() < roles || rank < first_leaf) {
        const auto nodes = controllers();
        return {nodes.begin(), nodes.end()};
    }
    if (rank < roles) {
        return {ranked_[first_collector + (rank - first_leaf) % collectors_per_service]};
    }
    return {ranked_[first_leaf + hash_of(node.str()) % leaves_per_service]};
}

/** Returns the number of ranks if the node has no role. */
std::size_t evidence_tree::rank_of(const node_id& node) const noexcept
{
    return static_cast<std::size_t>(std::ranges::find(ranked_, node) - ranked_.begin());
}

} // namespace savorywheel
