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

route_evidence make_evidence(const version_name& version, std::uint64_t calls,
                             std::uint64_t failures)
{
    route_evidence item;
    item.version = version;
    item.route = "/plugs";
    item.calls = calls;
    item.failures = failures;
    item.failed_at = {node_id{"a"}, node_id{"b"}};
    return item;
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

TEST(evidence_policy, suspected_version_does_not_keep_its_share)
{
    constexpr std::uint32_t a_half = 500;
    const auto state = make_state(a_half);
    const auto now = started + std::chrono::seconds{8};
    evidence_policy subject;
    std::vector<route_evidence> evidence{make_evidence(old_version, 500, 5),
                                         make_evidence(new_version, 100, 0)};
    static_cast<void>(subject.decide({state, evidence, 2, now}));
    evidence.back() = make_evidence(new_version, 100, 8);
    const auto decision = subject.decide({state, evidence, 2, now});
    ASSERT_EQ(decision.action, rollout_action::advance);
    EXPECT_TRUE(decision.suspected);
    EXPECT_EQ(progress_of(*state.move, decision.weights), 200U);
}

// Guards against an order back to the version that carries the traffic that never completes.
TEST(evidence_policy, move_without_a_change_of_shares_is_finished_without_new_servers)
{
    auto state = make_state(0);
    state.move->to = state.move->from;
    evidence_policy subject;
    static_cast<void>(subject.decide({state, {}, 0, started}));
    const auto decision = subject.decide({state, {}, 0, started + std::chrono::seconds{3}});
    ASSERT_EQ(decision.action, rollout_action::finish);
    EXPECT_EQ(decision.weights, state.move->from);
}

} // namespace savorywheel::test
