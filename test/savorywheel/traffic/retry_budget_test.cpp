#include <savorywheel/traffic/retry_budget.hpp>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <vector>

namespace savorywheel::test {

namespace {

const service_name service{"bookdesk"};

} // namespace

TEST(retry_budget, retries_of_all_nodes_stay_within_the_mesh_limit)
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
                node.deposit(service);
                ++earned;
                spent += node.try_withdraw(service) ? 1 : 0;
                spent += node.try_withdraw(service) ? 1 : 0;
            }
        }
        RC_ASSERT(spent <= limits.per_call * earned + limits.saved_by_mesh + 0.001);
    }));
}

TEST(retry_budget, adding_nodes_reduces_the_saved_retries)
{
    retry_budget budget{{0.0, 20.0}};
    EXPECT_TRUE(budget.try_withdraw(service));
    budget.set_nodes(10);
    EXPECT_TRUE(budget.try_withdraw(service));
    EXPECT_TRUE(budget.try_withdraw(service));
    EXPECT_FALSE(budget.try_withdraw(service));
}

} // namespace savorywheel::test
