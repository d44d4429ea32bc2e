#include <savorywheel/core/seeded_random.hpp>
#include <savorywheel/routing/ejecting_version_chooser.hpp>
#include <savorywheel/routing/weighted_version_chooser.hpp>

#include <gtest/gtest.h>

namespace savorywheel::test {

namespace {

const version_name old_version{"v1"};
const version_name new_version{"v2"};

class ejecting_chooser : public ::testing::Test {
protected:
    ejecting_chooser()
    {
        state_.spec.name = service_name{"bookdesk"};
        state_.weights = {{new_version, weight_sum_permille}};
        state_.move = rollout_move{};
        state_.move->asked_at = {7};
        state_.move->from = {{old_version, weight_sum_permille}};
        ejections_.set({{state_.spec.name, {7}}});
    }

    std::optional<version_name> choose(std::initializer_list<version_name> served)
    {
        service_routes routes;
        routes.state = std::make_shared<const service_state>(state_);
        for (const auto& version : served) {
            routes.endpoints.emplace_back().version = version;
        }
        return chooser_.choose(routes);
    }

    service_state state_;
    version_ejections ejections_;

private:
    seeded_random random_{20261204};
    weighted_version_chooser inner_{random_};
    ejecting_version_chooser chooser_{inner_, ejections_, random_};
};

} // namespace

TEST_F(ejecting_chooser, an_ejected_version_gets_no_calls_while_an_old_one_serves)
{
    EXPECT_EQ(choose({old_version, new_version}), old_version);
    EXPECT_EQ(choose({new_version}), new_version);
}

TEST_F(ejecting_chooser, an_ejection_ends_with_its_move)
{
    state_.move->asked_at = {8};
    EXPECT_EQ(choose({old_version, new_version}), new_version);
}

TEST_F(ejecting_chooser, an_override_stands_above_an_ejection)
{
    state_.override_in_force =
        manual_override{{{new_version, weight_sum_permille}}, {}, {}, {}, {}};
    EXPECT_EQ(choose({old_version, new_version}), new_version);
}

} // namespace savorywheel::test
