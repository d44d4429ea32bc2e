#include <savorywheel/traffic/retry_budget.hpp>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <vector>

namespace savorywheel::test {

namespace {

const service_name service{"bookdesk"};

} // namespace

TEST(retry_budget, nodes_together_stay_within_the_share_of_the_calls_and_what_is_saved)
{
    EXPECT_TRUE(rc::check([] {
        const retry_limits limits{0.1, 62.0};
        const auto nodes = *rc::gen::inRange<std::size_t>(1, 40);
        std::vector<retry_budget> mesh(nodes);
        int earned = 0;
        int spent = 0;
        for (auto& node : mesh) {
            node.set_limits(limits);
            node.set_nodes(nodes);
            for (int calls = *rc::gen::inRange(0, 100); calls > 0; --calls) {
                node.earn(service);
                ++earned;
                spent += node.spend(service) ? 1 : 0;
                spent += node.spend(service) ? 1 : 0;
            }
        }
        RC_ASSERT(spent <= limits.per_call * earned + limits.saved_by_mesh + 0.001);
    }));
}

TEST(retry_budget, a_node_that_hears_of_others_gives_up_what_it_saved_beyond_its_part)
{
    retry_budget budget{{0.0, 20.0}};
    EXPECT_TRUE(budget.spend(service));
    budget.set_nodes(10);
    EXPECT_TRUE(budget.spend(service));
    EXPECT_TRUE(budget.spend(service));
    EXPECT_FALSE(budget.spend(service));
}

} // namespace savorywheel::test
