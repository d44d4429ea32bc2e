#include <savorywheel/rollout/evidence_policy.hpp>
#include <savorywheel/rollout/move_shares.hpp>

#include <gtest/gtest.h>

namespace savorywheel::test {

namespace {

const version_name old_version{"v1"};
const version_name new_version{"v2"};
const calendar_time started{std::chrono::hours{1}};

service_state make_state(std::uint32_t progress)
{
    service_state state;
    state.spec.name = service_name{"plugboard"};
    rollout_move move;
    move.from = {{old_version, weight_sum_permille}};
    move.to = {{new_version, weight_sum_permille}};
    move.started_at = started;
    move.due = started + std::chrono::seconds{16};
    state.weights = shares_at(move, progress);
    state.move = move;
    return state;
}

} // namespace

TEST(evidence_policy, late_move_does_not_skip_the_50_percent_step)
{
    constexpr std::uint32_t a_fifth = 200;
    const auto state = make_state(a_fifth);
    evidence_policy subject;
    static_cast<void>(subject.decide({state, {}, 2, started + std::chrono::seconds{11}}));
    const auto decision = subject.decide({state, {}, 2, started + std::chrono::seconds{15}});
    ASSERT_EQ(decision.action, rollout_action::advance);
    EXPECT_EQ(progress_of(*state.move, decision.weights), 500U);
}

} // namespace savorywheel::test
