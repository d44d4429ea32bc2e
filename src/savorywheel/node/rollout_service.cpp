#include <savorywheel/encoding/codec.hpp>
#include <savorywheel/node/rollout_service.hpp>
#include <savorywheel/rollout/monitored_moves.hpp>
#include <savorywheel/rollout/step_schedule.hpp>

#include <algorithm>
#include <utility>

namespace savorywheel {

namespace {

constexpr std::chrono::milliseconds longest_period{1000};

} // namespace

rollout_service::rollout_service(const lease_record& self, const environment& env)
    : self_{self.holder}, environment_{env}, exchange_{self.holder,
                                                       evidence_exchange::environment{env.network,
                                                                                      env.members}},
      broadcaster_{self.holder, withdrawal_broadcaster::environment{env.network, env.random,
                                                                    env.log, env.members}},
      controllers_{self,
                   controller_set::environment{
                       lease_manager::environment{env.loop, env.worker, env.random},
                       move_controller::environment{env.commits, env.random, env.log}}},
      ejector_{env.log}, rewrite_detector_{
                             move_controller::environment{env.commits, env.random, env.log}}
{
}

void rollout_service::start()
{
    schedule();
}

void rollout_service::stop()
{
    timer_.reset();
    period_ = {};
    controllers_.set_services({});
}

void rollout_service::on_configuration(const mesh_state& state)
{
    state_ = state;
    if (next_period() < period_) {
        schedule();
    }
    broadcaster_.active_notices().erase_ended(state);
    publish_ejections();
}

void rollout_service::on_frame(const std::shared_ptr<frame_sink>& /*connection*/, frame_kind kind,
                               std::uint64_t /*correlation*/, std::span<const std::byte> payload)
{
    if (kind == frame_kind::withdrawal_push) {
        if (auto notice = decode<withdrawal_notice>(payload)) {
            environment_.loop.post([this, item = std::move(*notice)] { receive_notice(item); });
        }
        return;
    }
    if (auto report = decode<evidence_report>(payload)) {
        environment_.loop.post([this, item = std::move(*report)] { receive_report(item); });
    }
}

void rollout_service::on_closed(const frame_sink& /*connection*/, bool /*established*/) {}

std::chrono::milliseconds rollout_service::next_period() const
{
    auto period = longest_period;
    for (const auto& [name, service] : state_.services()) {
        if (service->move) {
            period = std::min(period, evidence_period(*service->move));
        }
    }
    return period;
}

void rollout_service::schedule()
{
    period_ = next_period();
    timer_ = environment_.loop.timers().after(period_, [this] {
        schedule();
        run_period();
    });
}

void rollout_service::run_period()
{
    evidence_table own;
    for (const auto& item : environment_.recorder.drain()) {
        own.add(item);
    }
    const auto moves = find_monitored_moves(state_, environment_.loop.time().calendar_now());
    std::set<service_name> watched;
    std::set<service_name> controlled;
    for (const auto& service : moves) {
        const auto& name = service->spec.name;
        watched.insert(name);
        if (exchange_.is_candidate(name)) {
            controlled.insert(name);
        }
        const auto evidence = own.extract(name);
        observe_own_calls(*service, evidence);
        exchange_.send(name, evidence);
    }
    environment_.recorder.set_monitored_services(std::move(watched));
    controllers_.set_services(controlled);
    for (const auto& service : moves) {
        if (controlled.contains(service->spec.name)) {
            control(*service);
        }
    }
    rewrite_detector_.run(state_, environment_.loop.time().calendar_now());
    broadcaster_.gossip();
    publish_ejections();
}

void rollout_service::observe_own_calls(const service_state& service,
                                        std::span<const route_evidence> evidence)
{
    if (evidence.empty()) {
        return;
    }
    const auto& members = environment_.members();
    ejector_.observe({service, evidence, count_new_servers(members, service),
                      environment_.loop.time().calendar_now()},
                     members.entries().size());
}

void rollout_service::control(const service_state& service)
{
    const auto& name = service.spec.name;
    const auto evidence = exchange_.collect(name);
    const auto now = environment_.loop.time().calendar_now();
    const auto* notice = broadcaster_.active_notices().find(name, service.move->asked_at);
    const auto servers = count_new_servers(environment_.members(), service);
    if (const auto issued =
            controllers_.run(service, {state_, evidence, servers, now, false, notice})) {
        receive_notice(*issued);
    }
}

void rollout_service::receive_notice(const withdrawal_notice& notice)
{
    if (broadcaster_.receive(notice)) {
        broadcaster_.active_notices().erase_ended(state_);
        publish_ejections();
    }
}

/** Drops evidence that matches no move of the accepted configuration, as it may be faulty. */
void rollout_service::receive_report(const evidence_report& report)
{
    evidence_report known;
    for (const auto& item : report.items) {
        const auto service = state_.find(item.service);
        if (service && concerns_move(*service, item)) {
            known.items.push_back(item);
        }
    }
    exchange_.receive(known);
}

void rollout_service::publish_ejections()
{
    version_ejections::move_map moves;
    ejector_.add_ejected(state_, moves);
    for (const auto& notice : broadcaster_.active_notices().all()) {
        moves.insert_or_assign(notice.service, notice.asked_at);
    }
    environment_.ejections.set(std::move(moves));
}

} // namespace savorywheel
