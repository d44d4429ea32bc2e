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
    for (int i = 0; i < count; ++i) {
        members.emplace_back(fmt::format("node-{}", i));
    }
    return members;
}

} // namespace

TEST(evidence_tree, a_small_mesh_sends_straight_to_the_controllers)
{
    const auto members = make_members(20);
    const evidence_tree tree{bookdesk, members};
    ASSERT_EQ(tree.controllers().size(), controllers_per_service);
    for (const auto& node : members) {
        EXPECT_TRUE(std::ranges::equal(tree.targets_of(node), tree.controllers()));
    }
}

TEST(evidence_tree, evidence_of_every_node_arrives_and_no_node_hears_from_too_many)
{
    constexpr int callers = 340;
    constexpr int most_senders = 20;
    const auto members = make_members(15'000);
    const evidence_tree tree{bookdesk, members};
    std::map<node_id, int> senders;
    for (int i = 0; i < callers; ++i) {
        auto node = members[static_cast<std::size_t>(i) * 44];
        for (int hop = 0; hop < 3 && !tree.controls(node); ++hop) {
            const auto next = tree.targets_of(node).front();
            if (!tree.receives(node)) {
                ++senders[next];
            }
            node = next;
        }
        EXPECT_TRUE(tree.controls(node));
    }
    for (const auto& [node, count] : senders) {
        EXPECT_LE(count, most_senders) << node.str();
    }
}

} // namespace savorywheel::test
