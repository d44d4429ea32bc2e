#include <savorywheel/core/seeded_random.hpp>
#include <savorywheel/routing/weighted_service_selection.hpp>

#include <gtest/gtest.h>

#include <map>
#include <vector>

namespace savorywheel::test {

TEST(weighted_service_selection, each_service_gets_its_share_and_none_without_a_weight)
{
    constexpr int draws = 10'000;
    seeded_random random{7};
    const std::vector<service_share> shares{
        {service_name{"a"}, 90}, {service_name{"b"}, 10}, {service_name{"c"}, 0}};
    std::map<service_name, int> counts;
    for (int i = 0; i < draws; ++i) {
        ++counts[*select_service_by_weight(shares, random)];
    }
    EXPECT_NEAR(counts[service_name{"a"}] / double{draws}, 0.9, 0.02);
    EXPECT_NEAR(counts[service_name{"b"}] / double{draws}, 0.1, 0.02);
    EXPECT_EQ(counts[service_name{"c"}], 0);
}

TEST(weighted_service_selection, empty_shares_select_no_service)
{
    seeded_random random{7};
    EXPECT_EQ(select_service_by_weight({}, random), nullptr);
}

} // namespace savorywheel::test
