#include <savorywheel/rollout/case_file.hpp>
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

route_evidence seen(const version_name& version, std::uint64_t calls, std::uint64_t failures)
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

move_case make_case(config_version asked_at)
{
    return {asked_at, {seen(old_version, 400, 5), seen(new_version, 101, 33)}};
}

} // namespace

TEST(case_file, a_controller_goes_on_from_what_an_earlier_one_saw)
{
    case_file file;
    const auto state = make_state();
    const auto parts = file.inherit(*state.move, make_case(state.move->asked_at));
    ASSERT_FALSE(parts.empty());
    evidence_policy policy;
    rollout_decision decision;
    for (const auto& part : parts) {
        decision = policy.decide({state, part, 2, started + std::chrono::seconds{10}});
    }
    EXPECT_EQ(decision.action, rollout_action::withdraw);
}

TEST(case_file, the_parts_add_up_to_the_whole)
{
    case_file file;
    const auto whole = make_case(config_version{7});
    std::uint64_t calls = 0;
    std::uint64_t failures = 0;
    for (const auto& part : file.inherit(make_move(), whole)) {
        calls += part.back().calls;
        failures += part.back().failures;
    }
    EXPECT_EQ(calls, whole.evidence.back().calls);
    EXPECT_EQ(failures, whole.evidence.back().failures);
}

TEST(case_file, the_case_of_another_move_is_left_alone)
{
    case_file file;
    EXPECT_TRUE(file.inherit(make_move(), make_case(config_version{6})).empty());
}

TEST(case_file, what_a_controller_saw_itself_does_not_count_twice)
{
    case_file file;
    file.add(make_case(config_version{7}).evidence);
    EXPECT_TRUE(file.inherit(make_move(), make_case(config_version{7})).empty());
    const auto summary = file.summary(make_move());
    EXPECT_EQ(summary.asked_at, config_version{7});
    EXPECT_EQ(summary.evidence.size(), 2U);
}

} // namespace savorywheel::test
