#include <savorywheel/rollout/move_shares.hpp>

#include <support/fake_traffic.hpp>
#include <support/rollout_trial.hpp>

#include <algorithm>
#include <deque>

namespace savorywheel::test {

namespace {

constexpr int seconds_after_due = 60;
constexpr std::size_t servers = 6;

service_state make_service(calendar_time start)
{
    service_state service;
    service.spec.name = service_name{"bookdesk"};
    for (const auto* path : {"/check", "/book", "/cancel"}) {
        service.spec.routes.push_back({path, false, std::chrono::milliseconds{2000}, {}});
    }
    service.weights = {{version_name{"v1"}, weight_sum_permille}};
    rollout_move move;
    move.from = service.weights;
    move.to = {{version_name{"v2"}, weight_sum_permille}};
    move.started_at = start;
    move.due = start + std::chrono::seconds{trial_due_seconds};
    service.move = move;
    return service;
}

void apply(const rollout_decision& decision, int second, service_state& service,
           trial_result& result)
{
    if (decision.action == rollout_action::hold) {
        return;
    }
    service.weights = decision.weights;
    if (decision.action == rollout_action::finish) {
        service.move->status = move_status::done;
        result.done_at = second + trial_delay_seconds;
    }
    if (decision.action == rollout_action::withdraw) {
        service.move->status = move_status::withdrawn;
        result.withdrawn_at = second + trial_delay_seconds;
    }
}

} // namespace

trial_result run_rollout_trial(rollout_policy& policy, const trial_case& kind, std::uint64_t seed)
{
    const calendar_time start{std::chrono::sys_days{std::chrono::year{2026} / 1 / 1}};
    fake_traffic traffic{kind, seed};
    trial_result result;
    auto service = make_service(start);
    std::deque<double> in_force(trial_delay_seconds, 0.0);
    for (int second = 0; second < trial_due_seconds + seconds_after_due; ++second) {
        const auto evidence = traffic.run_second(second, in_force.front(), result);
        in_force.pop_front();
        if (service.move->status != move_status::withdrawn) {
            const auto now = start + std::chrono::seconds{second};
            apply(policy.decide({service, evidence, servers, now}), second, service, result);
        }
        in_force.push_back(share_of(service.weights, version_name{"v2"}) /
                           double{weight_sum_permille});
    }
    return result;
}

} // namespace savorywheel::test
