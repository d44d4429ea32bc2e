#include <savorywheel/rollout/evidence_tree.hpp>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <map>

namespace savorywheel::test {

namespace {

const service_name bookdesk{"bookdesk"};

std::vector<node_id> make_members(int count)
{
    std::vector<node_id> members;
    members.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        members.emplace_back(fmt::format("node-{}", i));
    }
    return members;
}

} // namespace

TEST(evidence_tree, small_mesh_sends_directly_to_controllers)
{
    const auto members = make_members(20);
    const evidence_tree tree{bookdesk, members};
    ASSERT_EQ(tree.controllers().size(), controllers_per_service);
    for (const auto& node : members) {
        EXPECT_TRUE(std::ranges::equal(tree.targets_of(node), tree.controllers()));
    }
}

TEST(evidence_tree, every_node_reaches_a_controller_with_bounded_fan_in)
{
    constexpr int callers = 340;
    constexpr int most_senders = 20;
    const auto members = make_members(15'000);
    const evidence_tree tree{bookdesk, members};
    std::map<node_id, int> senders;
    for (int i = 0; i < callers; ++i) {
        auto node = members[static_cast<std::size_t>(i) * 44];
        for (int hop = 0; hop < 3 && !tree.is_controller(node); ++hop) {
            const auto next = tree.targets_of(node).front();
            if (!tree.is_receiver(node)) {
                ++senders[next];
            }
            node = next;
        }
        EXPECT_TRUE(tree.is_controller(node));
    }
    for (const auto& [node, count] : senders) {
        EXPECT_LE(count, most_senders) << node.str();
    }
}

} // namespace savorywheel::test
