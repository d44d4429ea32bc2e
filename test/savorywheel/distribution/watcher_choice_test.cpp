#include <savorywheel/distribution/watcher_choice.hpp>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <vector>

namespace savorywheel::test {

namespace {

std::vector<member_record> make_mesh(std::size_t nodes)
{
    std::vector<member_record> records;
    for (std::size_t i = 0; i < nodes; ++i) {
        member_record record;
        record.id = node_id{fmt::format("node-{}", i)};
        record.region = region_name{fmt::format("region-{}", i % 3)};
        record.incarnation = 1;
        records.push_back(record);
    }
    return records;
}

/** Roles and ranks of all nodes, which know the same members. */
std::map<node_id, watcher_choice> choices_of(const std::vector<member_record>& mesh)
{
    member_table table;
    for (const auto& record : mesh) {
        table.merge({record, member_status::alive}, {});
    }
    std::map<node_id, watcher_choice> choices;
    for (const auto& record : mesh) {
        choices[record.id] = choose_watchers(record, table);
    }
    return choices;
}

std::set<node_id> watchers_of(const std::vector<member_record>& mesh)
{
    std::set<node_id> watchers;
    for (const auto& [node, choice] : choices_of(mesh)) {
        if (choice.role == watch_role::watcher) {
            watchers.insert(node);
        }
    }
    return watchers;
}

std::vector<member_record>::iterator find(std::vector<member_record>& mesh, const node_id& node)
{
    return std::ranges::find(mesh, node, &member_record::id);
}

} // namespace

// 83 waiting watches per kind of document cost a store call and 154 KB each for every change.
TEST(watcher_choice, two_nodes_of_each_region_watch_and_have_different_ranks)
{
    for (const std::size_t size : {25U, 83U, 3000U}) {
        const auto mesh = make_mesh(size);
        std::map<region_name, int> watchers;
        std::set<std::size_t> ranks;
        for (const auto& [node, choice] : choices_of(mesh)) {
            if (choice.role == watch_role::watcher) {
                const auto found = std::ranges::find(mesh, node, &member_record::id);
                ++watchers[found->region];
                ranks.insert(choice.rank);
            }
        }
        EXPECT_EQ(watchers.size(), 3U);
        for (const auto& [region, count] : watchers) {
            EXPECT_EQ(count, 2);
        }
        EXPECT_EQ(ranks, (std::set<std::size_t>{0, 1, 2, 3, 4, 5}));
    }
}

TEST(watcher_choice, every_node_of_a_small_mesh_watches)
{
    for (const std::size_t size : {2U, 24U}) {
        for (const auto& [node, choice] : choices_of(make_mesh(size))) {
            EXPECT_EQ(choice.role, watch_role::everyone);
        }
    }
    EXPECT_EQ(choices_of(make_mesh(1)).begin()->second.role, watch_role::alone);
}

TEST(watcher_choice, node_that_the_store_refuses_is_replaced_in_its_region_only)
{
    auto mesh = make_mesh(83);
    const auto before = watchers_of(mesh);
    const auto refused = find(mesh, *before.begin());
    refused->store_reachable = false;
    const auto after = watchers_of(mesh);
    EXPECT_EQ(after.size(), 6U);
    EXPECT_FALSE(after.contains(refused->id));
    std::size_t kept = 0;
    for (const auto& node : after) {
        kept += before.contains(node) ? 1 : 0;
    }
    EXPECT_EQ(kept, 5U);
    const auto region = refused->region;
    for (auto& record : mesh) {
        record.store_reachable = record.region != region;
    }
    EXPECT_EQ(watchers_of(mesh).size(), 4U);
}

TEST(watcher_choice, dead_watcher_is_replaced)
{
    auto mesh = make_mesh(83);
    const auto before = watchers_of(mesh);
    mesh.erase(find(mesh, *before.begin()));
    const auto after = watchers_of(mesh);
    EXPECT_EQ(after.size(), 6U);
    EXPECT_FALSE(after.contains(*before.begin()));
}

} // namespace savorywheel::test
