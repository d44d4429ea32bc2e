#include <savorywheel/quota/coordinator_choice.hpp>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <map>

namespace savorywheel::test {

namespace {

member_record make_record(std::size_t index)
{
    member_record record;
    record.id = node_id{fmt::format("n{:02}", index)};
    record.peer = {"10.0.0.1", static_cast<std::uint16_t>(7000 + index)};
    record.incarnation = 1;
    return record;
}

} // namespace

TEST(coordinator_choice, two_nodes_that_reach_the_store_are_candidates_and_few_change)
{
    member_table members;
    for (std::size_t i = 0; i < 50; ++i) {
        members.merge({make_record(i), member_status::alive}, {});
    }
    std::map<std::uint32_t, std::vector<network_endpoint>> before;
    for (std::uint32_t shard = 0; shard < 20; ++shard) {
        before[shard] = coordinator_candidates(shard, members);
        std::size_t candidates = 0;
        for (std::size_t i = 0; i < 50; ++i) {
            if (is_coordinator_candidate(shard, make_record(i), members)) {
                ++candidates;
                EXPECT_NE(std::ranges::find(before[shard], make_record(i).peer),
                          before[shard].end());
            }
        }
        EXPECT_EQ(candidates, coordinator_candidate_count);
    }
    auto record = make_record(before[0].front().port - 7000U);
    record.store_reachable = false;
    record.incarnation = 2;
    members.merge({record, member_status::alive}, {});
    EXPECT_FALSE(is_coordinator_candidate(0, record, members));
    EXPECT_EQ(coordinator_candidates(0, members).front(), before[0].back());
}

} // namespace savorywheel::test
