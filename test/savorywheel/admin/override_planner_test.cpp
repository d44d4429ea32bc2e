#include <savorywheel/admin/change_planner.hpp>
#include <savorywheel/admin/override_conflicts.hpp>
#include <savorywheel/admin/override_planner.hpp>

#include <gtest/gtest.h>

namespace savorywheel::test {

namespace {

const service_name plugboard{"plugboard"};
const author_name anna{"anna"};

std::vector<version_weight> shares(std::uint32_t first)
{
    return {{version_name{"v1"}, first}, {version_name{"v2"}, weight_sum_permille - first}};
}

mesh_spec text_with(std::vector<version_weight> weights)
{
    service_spec service;
    service.name = plugboard;
    service.target.weights = std::move(weights);
    return {{}, {service}};
}

mesh_state state_with_override()
{
    const auto first = mesh_state{}.apply(plan_text_change({}, text_with(shares(1000)), {}));
    const auto change = plan_override_set(*first, plugboard, shares(700), anna, "alarm", {}, {1});
    return *first->apply(*change);
}

std::size_t conflicts(const mesh_state& state, const mesh_spec& desired,
                      std::optional<config_version> base_version)
{
    findings report;
    find_override_conflicts(state, desired, base_version, {}, report);
    return report.items().size();
}

} // namespace

TEST(override_planner, override_records_author_reason_and_version)
{
    const auto item = state_with_override().find(plugboard)->override_in_force;
    ASSERT_TRUE(item);
    EXPECT_EQ(item->author, anna);
    EXPECT_EQ(item->reason, "alarm");
    EXPECT_EQ(item->version, config_version{2});
}

TEST(override_planner, override_with_older_base_version_is_a_conflict)
{
    const auto state = state_with_override();
    const author_name bela{"bela"};
    EXPECT_EQ(plan_override_set(state, plugboard, shares(0), bela, "no", {}, {1}).reason().code,
              failure_code::conflict);
    EXPECT_EQ(plan_override_release(state, plugboard, bela, "no", {}, {1}).reason().code,
              failure_code::conflict);
    EXPECT_TRUE(plan_override_set(state, plugboard, shares(0), bela, "yes", {}, {2}));
    EXPECT_TRUE(plan_override_release(state, plugboard, bela, "yes", {}, {2}));
}

TEST(override_planner, weights_with_wrong_sum_are_rejected)
{
    const auto state = state_with_override();
    const std::vector<version_weight> half{{version_name{"v1"}, 500}};
    EXPECT_EQ(plan_override_set(state, plugboard, half, anna, "x", {}, {2}).reason().code,
              failure_code::invalid_argument);
}

TEST(override_conflicts, text_with_older_base_version_conflicts_with_override)
{
    const auto state = state_with_override();
    EXPECT_EQ(conflicts(state, text_with(shares(500)), std::nullopt), 1U);
    EXPECT_EQ(conflicts(state, text_with(shares(500)), config_version{1}), 1U);
    EXPECT_EQ(conflicts(state, text_with(shares(500)), config_version{2}), 0U);
    EXPECT_EQ(conflicts(state, text_with(shares(1000)), std::nullopt), 0U);
}

TEST(override_conflicts, text_cannot_remove_a_service_with_an_override)
{
    EXPECT_EQ(conflicts(state_with_override(), {}, config_version{2}), 1U);
}

TEST(change_planner, second_target_keeps_the_initial_weights_of_the_move)
{
    auto state = *mesh_state{}.apply(plan_text_change({}, text_with(shares(1000)), {}));
    state = *state.apply(plan_text_change(state, text_with(shares(0)), {}));
    auto stepped = *state.find(plugboard);
    stepped.weights = shares(900);
    commit step;
    step.version = state.version().next();
    step.upserts.push_back(stepped);
    state = *state.apply(step);
    state = *state.apply(plan_text_change(state, text_with(shares(500)), {}));
    EXPECT_EQ(state.find(plugboard)->move->from, shares(1000));
}

} // namespace savorywheel::test
