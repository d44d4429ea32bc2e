#include <savorywheel/rollout/move_shares.hpp>

#include <support/rollout_simulation.hpp>
#include <support/simulated_traffic.hpp>

#include <algorithm>
#include <deque>

namespace savorywheel::test {

namespace {

constexpr int seconds_after_deadline = 60;
constexpr std::size_t server_count = 6;

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
    move.due = start + std::chrono::seconds{simulated_move_seconds};
    service.move = move;
    return service;
}

void apply(const rollout_decision& decision, int second, service_state& service,
           rollout_simulation_result& result)
{
    if (decision.action == rollout_action::hold) {
        return;
    }
    service.weights = decision.weights;
    if (decision.action == rollout_action::finish) {
        service.move->status = move_status::done;
        result.done_at = second + propagation_delay_seconds;
    }
    if (decision.action == rollout_action::withdraw) {
        service.move->status = move_status::withdrawn;
        result.withdrawn_at = second + propagation_delay_seconds;
    }
}

} // namespace

rollout_simulation_result
run_rollout_simulation(rollout_policy& policy, const rollout_scenario& scenario, std::uint64_t seed)
{
    const calendar_time start{std::chrono::sys_days{std::chrono::year{2026} / 1 / 1}};
    simulated_traffic traffic{scenario, seed};
    rollout_simulation_result result;
    auto service = make_service(start);
    std::deque<double> propagating_shares(propagation_delay_seconds, 0.0);
    for (int second = 0; second < simulated_move_seconds + seconds_after_deadline; ++second) {
        const auto evidence = traffic.run_second(second, propagating_shares.front(), result);
        propagating_shares.pop_front();
        if (service.move->status != move_status::withdrawn) {
            const auto now = start + std::chrono::seconds{second};
            apply(policy.decide({service, evidence, server_count, now}), second, service, result);
        }
        propagating_shares.push_back(share_of(service.weights, version_name{"v2"}) /
                                     double{weight_sum_permille});
    }
    return result;
}

} // namespace savorywheel::test
