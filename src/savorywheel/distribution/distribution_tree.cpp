#include <savorywheel/distribution/distribution_tree.hpp>

#include <xxhash.h>

#include <algorithm>
#include <string>
#include <utility>

namespace savorywheel {

namespace {

std::uint64_t rank_of(const node_id& root, const node_id& member)
{
    const auto text = root.str() + '/' + member.str();
    return XXH3_64bits(text.data(), text.size());
}

} // namespace

std::vector<node_id> tree_children(const node_id& root, const node_id& self,
                                   std::span<const node_id> members)
{
    std::vector<std::pair<std::uint64_t, node_id>> order;
    order.reserve(members.size());
    for (const auto& member : members) {
        if (member != root) {
            order.emplace_back(rank_of(root, member), member);
        }
    }
    std::ranges::sort(order);
    std::size_t position = 0;
    if (self != root) {
        const auto found =
            std::ranges::find(order, self, &std::pair<std::uint64_t, node_id>::second);
        if (found == order.end()) {
            return {};
        }
        position = static_cast<std::size_t>(found - order.begin()) + 1;
    }
    std::vector<node_id> children;
    for (std::size_t i = 1; i <= tree_fan_out; ++i) {
        const auto child = position * tree_fan_out + i;
        if (child <= order.size()) {
            children.push_back(order[child - 1].second);
        }
    }
    return children;
}

} // namespace savorywheel
