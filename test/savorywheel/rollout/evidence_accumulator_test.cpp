#include <savorywheel/rollout/evidence_accumulator.hpp>
#include <savorywheel/rollout/evidence_policy.hpp>

#include <gtest/gtest.h>

#include <numeric>

namespace savorywheel::test {

namespace {

const service_name service{"plugboard"};
const version_name old_version{"v1"};
const version_name new_version{"v2"};
const calendar_time started{std::chrono::hours{1}};

rollout_move make_move()
{
    rollout_move move;
    move.asked_at = config_version{7};
    move.from = {{old_version, weight_sum_permille}};
    move.to = {{new_version, weight_sum_permille}};
    move.started_at = started;
    move.due = started + std::chrono::seconds{16};
    return move;
}

service_state make_state()
{
    service_state state;
    state.spec.name = service;
    state.weights = {{old_version, 800}, {new_version, 200}};
    state.move = make_move();
    return state;
}

route_evidence make_evidence(const version_name& version, std::uint64_t calls,
                             std::uint64_t failures)
{
    route_evidence item;
    item.service = service;
    item.version = version;
    item.route = "/lookup";
    item.calls = calls;
    item.failures = failures;
    item.failed_at = {node_id{"a"}, node_id{"b"}};
    item.latencies.record(std::chrono::milliseconds{80});
    return item;
}

move_evidence make_predecessor(config_version asked_at)
{
    return {asked_at, {make_evidence(old_version, 400, 5), make_evidence(new_version, 101, 33)}};
}

} // namespace

TEST(evidence_accumulator, replayed_evidence_withdraws_a_faulty_version)
{
    evidence_accumulator accumulator;
    const auto state = make_state();
    const auto batches =
        accumulator.import_predecessor(*state.move, make_predecessor(state.move->asked_at));
    ASSERT_FALSE(batches.empty());
    evidence_policy policy;
    rollout_decision decision;
    for (const auto& batch : batches) {
        decision = policy.decide({state, batch, 2, started + std::chrono::seconds{10}});
    }
    EXPECT_EQ(decision.action, rollout_action::withdraw);
}

TEST(evidence_accumulator, batches_sum_to_the_imported_evidence)
{
    evidence_accumulator accumulator;
    const auto whole = make_predecessor(config_version{7});
    std::uint64_t calls = 0;
    std::uint64_t failures = 0;
    for (const auto& batch : accumulator.import_predecessor(make_move(), whole)) {
        calls += batch.back().calls;
        failures += batch.back().failures;
    }
    EXPECT_EQ(calls, whole.evidence.back().calls);
    EXPECT_EQ(failures, whole.evidence.back().failures);
}

TEST(evidence_accumulator, evidence_of_another_move_is_ignored)
{
    evidence_accumulator accumulator;
    EXPECT_TRUE(
        accumulator.import_predecessor(make_move(), make_predecessor(config_version{6})).empty());
}

TEST(evidence_accumulator, own_evidence_is_not_imported_twice)
{
    evidence_accumulator accumulator;
    accumulator.add(make_predecessor(config_version{7}).evidence);
    EXPECT_TRUE(
        accumulator.import_predecessor(make_move(), make_predecessor(config_version{7})).empty());
    const auto summary = accumulator.summary(make_move());
    EXPECT_EQ(summary.asked_at, config_version{7});
    EXPECT_EQ(summary.evidence.size(), 2U);
}

} // namespace savorywheel::test
