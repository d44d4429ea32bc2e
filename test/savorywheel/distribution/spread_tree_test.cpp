#include <savorywheel/distribution/distribution_tree.hpp>
#include <savorywheel/distribution/spread_tree.hpp>

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>
#include <vector>

namespace savorywheel::test {

namespace {

std::vector<spread_region> make_regions(const std::vector<std::size_t>& sizes)
{
    std::vector<spread_region> regions;
    for (std::size_t r = 0; r < sizes.size(); ++r) {
        regions.push_back({region_name{fmt::format("region-{}", r)}, {}});
        for (std::size_t i = 0; i < sizes[r]; ++i) {
            regions.back().members.emplace_back(fmt::format("r{}-{:05}", r, i));
        }
    }
    return regions;
}

struct delivery {
    std::map<node_id, std::size_t> copies;
    std::size_t max_hops{};
    std::size_t messages_between_regions{};
};

/** Passes a message along a tree; dead nodes receive it and do not pass it on. */
delivery spread(spread_tree tree, const spread_position& origin,
                const std::vector<spread_region>& regions, const std::set<node_id>& dead)
{
    std::map<node_id, region_name> region_of;
    for (const auto& region : regions) {
        for (const auto& member : region.members) {
            region_of[member] = region.name;
        }
    }
    delivery result;
    std::vector<std::pair<spread_position, std::size_t>> pending{{origin, 0}};
    while (!pending.empty()) {
        const auto [sender, hops] = pending.back();
        pending.pop_back();
        for (const auto& child : spread_children(tree, origin, sender, regions)) {
            ++result.copies[child];
            result.max_hops = std::max(result.max_hops, hops + 1);
            result.messages_between_regions += region_of.at(child) != sender.region ? 1 : 0;
            if (!dead.contains(child)) {
                pending.push_back({{child, region_of.at(child)}, hops + 1});
            }
        }
    }
    return result;
}

std::vector<std::size_t> generate_sizes()
{
    return *rc::gen::container<std::vector<std::size_t>>(*rc::gen::inRange<std::size_t>(1, 5),
                                                         rc::gen::inRange<std::size_t>(1, 70));
}

spread_position generate_node(const std::vector<spread_region>& regions)
{
    const auto& region = *rc::gen::elementOf(regions);
    return {*rc::gen::elementOf(region.members), region.name};
}

} // namespace

RC_GTEST_PROP(spread_tree, each_tree_reaches_every_node_once_and_enters_each_region_once, ())
{
    const auto sizes = generate_sizes();
    const auto regions = make_regions(sizes);
    const auto origin = generate_node(regions);
    std::size_t nodes = 0;
    for (const auto size : sizes) {
        nodes += size;
    }
    for (const auto tree : {spread_tree::first, spread_tree::second}) {
        const auto result = spread(tree, origin, regions, {});
        RC_ASSERT(result.copies.size() == nodes - 1);
        RC_ASSERT(!result.copies.contains(origin.node));
        for (const auto& [node, copies] : result.copies) {
            RC_ASSERT(copies == 1U);
        }
        RC_ASSERT(result.messages_between_regions == regions.size() - 1);
    }
}

RC_GTEST_PROP(spread_tree, failure_of_one_node_separates_no_other_from_both_trees, ())
{
    const auto regions = make_regions(generate_sizes());
    const auto origin = generate_node(regions);
    const auto failed = generate_node(regions).node;
    RC_PRE(failed != origin.node);
    const auto first = spread(spread_tree::first, origin, regions, {failed});
    const auto second = spread(spread_tree::second, origin, regions, {failed});
    for (const auto& region : regions) {
        for (const auto& member : region.members) {
            RC_ASSERT(member == origin.node || first.copies.contains(member) ||
                      second.copies.contains(member));
        }
    }
}

TEST(spread_tree, hops_and_receivers_at_the_sizes_of_the_fleets)
{
    const std::map<std::size_t, std::size_t> hops_by_region_size{
        {6, 2}, {28, 3}, {100, 4}, {3750, 6}};
    for (const auto& [size, hops] : hops_by_region_size) {
        const auto regions = make_regions({size, size, size});
        const spread_position origin{regions.front().members.front(), regions.front().name};
        EXPECT_EQ(spread(spread_tree::first, origin, regions, {}).max_hops, hops) << size;
        EXPECT_LE(spread_children(spread_tree::first, origin, origin, regions).size(),
                  tree_fan_out + 2);
    }
}

TEST(spread_tree, node_that_is_not_a_member_passes_nothing_on)
{
    const auto regions = make_regions({3, 3});
    const spread_position origin{regions.front().members.front(), regions.front().name};
    EXPECT_TRUE(spread_children(spread_tree::first, origin,
                                {node_id{"unknown"}, regions.front().name}, regions)
                    .empty());
}

} // namespace savorywheel::test
