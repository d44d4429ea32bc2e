#include <savorywheel/admin/change_planner.hpp>
#include <savorywheel/admin/override_planner.hpp>
#include <savorywheel/core/seeded_random.hpp>
#include <savorywheel/rollout/move_controller.hpp>
#include <savorywheel/rollout/move_shares.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <standin/platform/in_memory_object_store.hpp>
#include <support/queued_appender.hpp>
#include <support/recording_event_log.hpp>

#include <array>
#include <set>

namespace savorywheel::test {

namespace {

const service_name bookdesk{"bookdesk"};

/** Advances at every decision, except for one given decision that withdraws. */
class eager_policy final : public rollout_policy {
public:
    explicit eager_policy(int withdraw_at) : withdraw_at_{withdraw_at} {}

    rollout_decision decide(const rollout_view& view) override
    {
        const auto& move = *view.service.move;
        if (++decisions_ == withdraw_at_) {
            return {rollout_action::withdraw, move.from, "drawn"};
        }
        const auto next = progress_of(move, view.service.weights) + 100;
        const auto action = next >= 1000 ? rollout_action::finish : rollout_action::advance;
        return {action, shares_at(move, next), "eager"};
    }

private:
    int withdraw_at_;
    int decisions_{};
};

/** Suspects the version at its first decision and withdraws it at the second one. */
class suspicious_policy final : public rollout_policy {
public:
    rollout_decision decide(const rollout_view& view) override
    {
        if (std::exchange(suspected_, true)) {
            return {rollout_action::withdraw, view.service.move->from, "found"};
        }
        return {rollout_action::hold, {}, "suspected", true};
    }

private:
    bool suspected_{};
};

/** A node with its own, possibly stale, copy of the configuration. */
struct controlling_node {
    controlling_node(object_store& store, const std::string& name, int withdraw_at)
        : random{std::hash<std::string>{}(name)}, appender{store},
          controller{{bookdesk, {2}},
                     node_id{name},
                     std::make_unique<eager_policy>(withdraw_at),
                     {appender, random, log}}
    {
    }

    seeded_random random;
    recording_event_log log;
    queued_appender appender;
    move_controller controller;
    mesh_state state;
};

mesh_spec spec_with_target(const char* version)
{
    service_spec service;
    service.name = bookdesk;
    service.target.weights = {{version_name{version}, weight_sum_permille}};
    return {{}, {service}};
}

void catch_up(object_store& store, mesh_state& state, std::size_t max_commits = 100)
{
    const auto commits = commit_writer{store}.read_after(state.version());
    for (std::size_t i = 0; i < commits->size() && i < max_commits; ++i) {
        state = *state.apply((*commits)[i]);
    }
}

void append_configuration(object_store& store, const char* version)
{
    mesh_state state;
    catch_up(store, state);
    auto change = plan_text_change(state, spec_with_target(version), {});
    change.operation = operation_id{std::string{"text "} + version};
    RC_ASSERT(commit_writer{store}.append(change));
}

void act_as_operator(object_store& store, const mesh_state& state, bool release, int number)
{
    const author_name anna{"anna"};
    const std::array<version_weight, 1> old{{{version_name{"v1"}, weight_sum_permille}}};
    auto change = release
                      ? plan_override_release(state, bookdesk, anna, "ok", {}, state.version())
                      : plan_override_set(state, bookdesk, old, anna, "alarm", {}, state.version());
    if (change) {
        change->operation = operation_id{"operator " + std::to_string(number)};
        static_cast<void>(commit_writer{store}.append(*change));
    }
}

/** Replays the log and checks the effect of each automatic commit on the service. */
void check_log(object_store& store)
{
    mesh_state state;
    std::set<operation_id> operations;
    const auto commits = commit_writer{store}.read_after({});
    RC_ASSERT(commits);
    for (const auto& item : *commits) {
        const auto before = state.find(bookdesk);
        const auto next = state.apply(item);
        RC_ASSERT(next);
        RC_ASSERT(operations.insert(item.operation).second);
        state = *next;
        if (!is_automatic(item.kind)) {
            continue;
        }
        RC_ASSERT(item.base.next() == item.version);
        RC_ASSERT(!before->override_in_force);
        RC_ASSERT(!state.find(bookdesk)->override_in_force);
        RC_ASSERT(before->move->status != move_status::withdrawn);
    }
}

void run_step(object_store& store, std::array<controlling_node, 2>& nodes, int step, int number)
{
    auto& node = nodes[static_cast<std::size_t>(step % 2)];
    switch (step / 2) {
    case 0:
        catch_up(store, node.state, 1);
        break;
    case 1:
        catch_up(store, node.state);
        break;
    case 2:
        static_cast<void>(node.controller.run({node.state, {}, 1, {}, true, nullptr}));
        break;
    case 3:
        node.appender.run_next(queued_appender::write_result::answered);
        break;
    case 4:
        node.appender.run_next(queued_appender::write_result::response_lost);
        break;
    case 5:
        node.appender.run_next(queued_appender::write_result::not_written);
        break;
    default:
        auto fresh = node.state;
        catch_up(store, fresh);
        act_as_operator(store, step % 2 == 0 ? fresh : node.state, step / 2 == 7, number);
    }
}

} // namespace

RC_GTEST_PROP(proof_override, automatic_commits_never_revert_overrides_with_stale_controllers, ())
{
    constexpr int kinds = 16;
    const auto steps = *rc::gen::container<std::vector<int>>(60, rc::gen::inRange(0, kinds));
    const auto withdraw_at = *rc::gen::inRange(1, 20);
    standin::in_memory_object_store store;
    append_configuration(store, "v1");
    append_configuration(store, "v2");
    std::array<controlling_node, 2> nodes{controlling_node{store, "a", withdraw_at},
                                          controlling_node{store, "b", 0}};
    for (std::size_t i = 0; i < steps.size(); ++i) {
        run_step(store, nodes, steps[i], static_cast<int>(i));
    }
    check_log(store);
}

TEST(move_controller, withdrawal_of_a_suspected_version_does_not_end_its_suspicion)
{
    standin::in_memory_object_store store;
    append_configuration(store, "v1");
    append_configuration(store, "v2");
    mesh_state state;
    catch_up(store, state);
    seeded_random random{1};
    recording_event_log log;
    queued_appender appender{store};
    move_controller subject{{bookdesk, state.find(bookdesk)->move->asked_at},
                            node_id{"a"},
                            std::make_unique<suspicious_policy>(),
                            {appender, random, log}};
    for (int i = 0; i < 2; ++i) {
        static_cast<void>(subject.run({state, {}, 2, {}, false, nullptr, nullptr}));
    }
    EXPECT_EQ(log.count(event_id::version_suspected), 1U);
    EXPECT_EQ(log.count(event_id::suspicion_ended), 0U);
}

} // namespace savorywheel::test
