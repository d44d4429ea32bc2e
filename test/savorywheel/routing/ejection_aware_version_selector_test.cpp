#include <savorywheel/core/seeded_random.hpp>
#include <savorywheel/routing/ejection_aware_version_selector.hpp>
#include <savorywheel/routing/weighted_version_selector.hpp>

#include <gtest/gtest.h>

namespace savorywheel::test {

namespace {

const version_name old_version{"v1"};
const version_name new_version{"v2"};

class ejection_aware_selection : public ::testing::Test {
protected:
    ejection_aware_selection()
    {
        state_.spec.name = service_name{"bookdesk"};
        state_.weights = {{new_version, weight_sum_permille}};
        state_.move = rollout_move{};
        state_.move->asked_at = {7};
        state_.move->from = {{old_version, weight_sum_permille}};
        ejections_.set({{state_.spec.name, {7}}});
    }

    std::optional<version_name> select(std::initializer_list<version_name> served)
    {
        service_routes routes;
        routes.state = std::make_shared<const service_state>(state_);
        for (const auto& version : served) {
            routes.endpoints.emplace_back().version = version;
        }
        return selector_.select(routes);
    }

    service_state state_;
    version_ejections ejections_;

private:
    seeded_random random_{20261204};
    weighted_version_selector inner_{random_};
    ejection_aware_version_selector selector_{inner_, ejections_, random_};
};

} // namespace

TEST_F(ejection_aware_selection, ejected_version_gets_no_calls_while_an_old_version_has_endpoints)
{
    EXPECT_EQ(select({old_version, new_version}), old_version);
    EXPECT_EQ(select({new_version}), new_version);
}

TEST_F(ejection_aware_selection, ejection_applies_only_to_its_move)
{
    state_.move->asked_at = {8};
    EXPECT_EQ(select({old_version, new_version}), new_version);
}

TEST_F(ejection_aware_selection, override_takes_precedence_over_ejection)
{
    state_.override_in_force =
        manual_override{{{new_version, weight_sum_permille}}, {}, {}, {}, {}};
    EXPECT_EQ(select({old_version, new_version}), new_version);
}

} // namespace savorywheel::test
