#include <savorywheel/distribution/distribution_tree.hpp>
#include <savorywheel/distribution/spread_tree.hpp>

#include <xxhash.h>

#include <algorithm>
#include <string>

namespace savorywheel {

namespace {

std::size_t index_of(const node_id& node, std::span<const node_id> members)
{
    return static_cast<std::size_t>(std::ranges::lower_bound(members, node) - members.begin());
}

/** Positions of a region's members in a tree; position 0 receives the message first. */
class region_layout {
public:
    region_layout(spread_tree tree, const spread_position& origin, const spread_region& region)
        : reversed_{tree == spread_tree::second}, size_{region.members.size()}
    {
        if (region.name == origin.region) {
            head_ = index_of(origin.node, region.members) % size_;
            return;
        }
        const auto text = origin.node.str() + '/' + region.name.str();
        head_ = XXH3_64bits(text.data(), text.size()) % size_;
        if (reversed_) {
            // The first node of one tree is the last of the other one.
            head_ = (head_ + size_ - 1) % size_;
        }
    }

    [[nodiscard]] std::size_t position_of(std::size_t index) const noexcept
    {
        return reversed_ ? (head_ + size_ - index) % size_ : (index + size_ - head_) % size_;
    }

    [[nodiscard]] std::size_t index_at(std::size_t position) const noexcept
    {
        return reversed_ ? (head_ + size_ - position) % size_ : (head_ + position) % size_;
    }

private:
    bool reversed_;
    std::size_t size_;
    std::size_t head_{};
};

} // namespace

std::vector<node_id> spread_children(spread_tree tree, const spread_position& origin,
                                     const spread_position& self,
                                     std::span<const spread_region> regions)
{
    std::vector<node_id> children;
    for (const auto& region : regions) {
        const auto& members = region.members;
        if (members.empty()) {
            continue;
        }
        const region_layout layout{tree, origin, region};
        if (region.name != self.region) {
            if (self.node == origin.node) {
                children.push_back(members[layout.index_at(0)]);
            }
            continue;
        }
        const auto index = index_of(self.node, members);
        if (index == members.size() || members[index] != self.node) {
            continue;
        }
        const auto first = layout.position_of(index) * tree_fan_out + 1;
        const auto end = std::min(first + tree_fan_out, members.size());
        for (auto position = first; position < end; ++position) {
            children.push_back(members[layout.index_at(position)]);
        }
    }
    return children;
}

} // namespace savorywheel
