#include <savorywheel/node/control_plane.hpp>
#include <savorywheel/node/control_query.hpp>
#include <savorywheel/node/domain_survey.hpp>
#include <savorywheel/node/node_lease.hpp>
#include <savorywheel/node/node_record.hpp>
#include <savorywheel/node/order_appender.hpp>
#include <savorywheel/node/store_commit_appender.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace savorywheel {

namespace {

constexpr std::size_t max_peer_events = 4096;
constexpr std::size_t max_peer_bytes = 64UL * 1024UL * 1024UL;
constexpr std::chrono::milliseconds survey_timeout{1000};

event_id event_of(member_status status)
{
    switch (status) {
    case member_status::alive:
        return event_id::member_alive;
    case member_status::suspect:
        return event_id::member_suspect;
    case member_status::dead:
        return event_id::member_dead;
    }
    return event_id::member_alive;
}

} // namespace

control_plane::control_plane(const node_settings& settings, environment env)
    : settings_{settings}, environment_{env}, quota_{env.loop, max_peer_events, max_peer_bytes},
      publisher_{table_publisher::environment{
          env.loop, env.tables,
          [this]() -> const member_table& { return membership_.agent().table(); }}},
      membership_{make_node_record(settings, env.loop.time()), settings.seeds,
                  membership_environment()},
      ordered_log_{settings_, log_environment()}, backend_{settings, backend_environment(),
                                                           [this](const auto& backend) {
                                                               on_backend_changed(backend);
                                                           }},
      crashes_{crash_environment()}, appender_{make_appender()},
      rollouts_{make_node_lease(settings), rollout_environment()}, heads_{env.tables, env.network,
                                                                          env.requests},
      documents_{make_documents()}, quotas_{settings.quota, make_node_lease(settings),
                                            quota_environment()}
{
}

membership_service::environment control_plane::membership_environment()
{
    return {environment_.loop,
            quota_,
            environment_.random,
            environment_.datagrams,
            environment_.network,
            environment_.requests,
            *this};
}

log_config_provider::environment control_plane::log_environment()
{
    return {environment_.loop,
            quota_,
            environment_.random,
            environment_.store,
            environment_.worker,
            environment_.network,
            environment_.requests,
            environment_.log,
            membership_.agent(),
            [this](const mesh_state& state) {
                rollouts_.on_configuration(state);
                membership_.agent().set_head({state.version(), {}, 0});
            },
            [this](const mesh_state& state) { publisher_.on_configuration(state); },
            [this](const log_tail& tail, const std::deque<commit>& accepted) {
                rollouts_.on_rewritten(tail.rewritten, accepted);
            }};
}

backend_registry::environment control_plane::backend_environment()
{
    return {{environment_.loop, quota_, environment_.network, environment_.requests,
             environment_.log,
             [this]() -> const member_table& { return membership_.agent().table(); },
             [this]() -> const member_record& { return membership_.agent().self(); }},
            environment_.worker,
            environment_.decoder != nullptr};
}

crash_report_handover::environment control_plane::crash_environment()
{
    return {{environment_.loop, environment_.network, environment_.requests},
            [this](const service_name& service) {
                return environment_.backend_gate.crash_reports_of(service);
            },
            [this]() -> const member_table& { return membership_.agent().table(); },
            [this]() -> const member_record& { return membership_.agent().self(); }};
}

rollout_service::environment control_plane::rollout_environment()
{
    return {environment_.loop,
            environment_.random,
            environment_.worker,
            environment_.network,
            environment_.log,
            environment_.evidence,
            environment_.ejections,
            *appender_,
            [this]() -> const member_table& { return membership_.agent().table(); }};
}

quota_service::environment control_plane::quota_environment()
{
    return {
        environment_.loop,
        quota_,
        environment_.datagrams,
        environment_.quota_grants,
        // Two coordinators of a shard at the same time would issue its tokens twice.
        {{{environment_.loop, environment_.worker, environment_.random, true}, environment_.log},
         [this]() -> const member_record& { return membership_.agent().self(); },
         [this]() -> const member_table& { return membership_.agent().table(); },
         environment_.tables,
         environment_.quotas}};
}

std::unique_ptr<commit_appender> control_plane::make_appender()
{
    if (environment_.orders == nullptr) {
        return std::make_unique<store_commit_appender>(environment_.worker, environment_.loop);
    }
    return std::make_unique<order_appender>(order_appender::environment{
        environment_.worker, environment_.loop, *environment_.orders,
        [this]() -> const operator_documents& { return documents_->documents().documents(); }});
}

std::unique_ptr<document_config_provider> control_plane::make_documents()
{
    if (environment_.decoder == nullptr) {
        return nullptr;
    }
    return std::make_unique<document_config_provider>(
        *environment_.decoder, *environment_.orders,
        document_config_provider::environment{
            environment_.loop, quota_, environment_.random, environment_.store, environment_.worker,
            environment_.datagrams, environment_.network, environment_.requests, environment_.log,
            membership_.agent(), environment_.keys,
            [this](const mesh_state& state) { apply_state(state); },
            [this] { backend_.on_store_restored(); }, settings_.every_node_watches});
}

outcome<bool> control_plane::on_datagram(std::span<const std::byte> payload)
{
    if (quota_service::handles(payload)) {
        return quotas_.on_datagram(payload);
    }
    const auto protocol = payload.empty() ? std::byte{} : payload.front();
    if (documents_ && protocol == std::byte{confirmation_protocol}) {
        return documents_->confirmations().on_datagram(payload);
    }
    if (documents_ && protocol == std::byte{document_protocol}) {
        return documents_->datagrams().on_datagram(payload);
    }
    return membership_.on_datagram(payload);
}

void control_plane::start()
{
    started_ = true;
    membership_.agent().start();
    backend_.start();
    if (documents_) {
        documents_->start();
    }
    else {
        ordered_log_.start();
    }
    rollouts_.start();
    quotas_.start();
}

void control_plane::leave()
{
    if (documents_) {
        documents_->stop();
    }
    else {
        ordered_log_.stop();
    }
    rollouts_.stop();
    quotas_.stop();
    membership_.agent().leave();
    backend_.stop();
}

void control_plane::apply_state(const mesh_state& state)
{
    rollouts_.on_configuration(state);
    publisher_.on_configuration(state);
}

outcome<node_state_dump> control_plane::dump()
{
    return query_control<node_state_dump>(environment_.loop, [this] {
        node_state_dump state;
        state.node = settings_.name;
        state.domain = settings_.domain;
        ordered_log_.describe(state);
        state.running = environment_.backend_gate.running();
        state.waiting = environment_.backend_gate.waiting();
        state.members = membership_.agent().table().all();
        return state;
    });
}

outcome<mesh_state> control_plane::configuration()
{
    return query_control<mesh_state>(environment_.loop,
                                     [this] { return ordered_log_.log().state(); });
}

outcome<std::deque<commit>> control_plane::history()
{
    return query_control<std::deque<commit>>(environment_.loop,
                                             [this] { return ordered_log_.log().commits(); });
}

outcome<std::vector<domain_status>> control_plane::domains()
{
    const auto members = query_control<std::vector<member_update>>(
        environment_.loop, [this] { return membership_.agent().table().all(); });
    if (!members) {
        return members.reason();
    }
    const domain_survey survey{*members};
    auto peers = survey.sample();
    std::erase(peers, settings_.peer);
    auto heads = heads_.collect(peers, survey_timeout);
    heads[settings_.peer] = environment_.tables.current()->version();
    return survey.summarize(heads);
}

void control_plane::announce_backend(const backend_server& backend)
{
    backend_.announce(backend);
}

outcome<bool> control_plane::apply_announcement(const backend_announcement& announcement)
{
    return backend_.apply(announcement);
}

outcome<bool> control_plane::deregister_backend(std::string_view identity)
{
    return backend_.deregister(identity);
}

void control_plane::on_member_changed(const member_update& update)
{
    environment_.meter.set_region(update.record.peer.address, update.record.region);
    if (!started_) {
        return;
    }
    if (update.record.id != settings_.name) {
        environment_.log.write(event_of(update.status), update.record.id.str());
    }
    environment_.retries.set_nodes(membership_.agent().table().live().size());
    rollouts_.on_members_changed();
    backend_.on_member_changed(update);
    crashes_.on_member_changed(update);
    if (documents_) {
        documents_->on_members_changed();
    }
    publisher_.on_members_changed();
}

void control_plane::on_head_received(const network_endpoint& peer, const configuration_head& head)
{
    if (documents_) {
        documents_->on_head_received(peer, head);
        return;
    }
    ordered_log_.distribution().on_peer_version(peer, head.version);
}

void control_plane::publish_commit(const commit& change)
{
    environment_.loop.post([this, change] { ordered_log_.add_committed(change); });
}

void control_plane::on_backend_changed(const std::optional<backend_server>& backend)
{
    environment_.backend_gate.set_backend(backend);
    auto record = membership_.agent().self();
    record.service = backend ? backend->service : service_name{};
    record.version = backend ? backend->version : version_name{};
    record.state = backend ? backend->state : server_state::absent;
    record.slots = backend ? backend->slots : 0;
    membership_.agent().update_self(std::move(record));
}

} // namespace savorywheel
