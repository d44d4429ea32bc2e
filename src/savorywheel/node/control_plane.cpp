#include <savorywheel/distribution/commit_reader.hpp>
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
constexpr std::chrono::milliseconds survey_patience{1000};

/** Tells whether the node was given no other peer to join through. */
bool is_alone(const node_settings& settings)
{
    return std::ranges::all_of(settings.seeds,
                               [&](const auto& seed) { return seed == settings.peer; });
}

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

control_plane::control_plane(const node_settings& settings, environment surroundings)
    : settings_{settings}, environment_{surroundings}, quota_{surroundings.loop, max_peer_events,
                                                              max_peer_bytes},
      publisher_{table_publisher::environment{
          surroundings.loop, surroundings.tables,
          [this]() -> const member_table& { return membership_.agent().table(); }}},
      membership_{make_node_record(settings, surroundings.loop.time()), settings.seeds,
                  membership_environment()},
      distributor_{settings.name, settings.domain, distribution_environment()},
      floors_{is_alone(settings), floor_environment()}, relay_{settings_, relay_environment()},
      backend_{backend_monitor::environment{surroundings.loop, surroundings.log,
                                            settings.backend_timeout},
               [this](const auto& backend) { on_backend(backend); }},
      appender_{make_appender()}, rollouts_{make_node_lease(settings), rollout_environment()},
      heads_{surroundings.tables, surroundings.network, surroundings.requests},
      documents_{make_documents()}
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

distributor::environment control_plane::distribution_environment()
{
    return {environment_.loop,
            quota_,
            environment_.random,
            environment_.network,
            environment_.requests,
            *this,
            [this]() -> const member_table& { return membership_.agent().table(); }};
}

floor_service::environment control_plane::floor_environment()
{
    return {environment_.loop,
            quota_,
            environment_.random,
            environment_.network,
            environment_.requests,
            *this,
            [this]() -> const member_table& { return membership_.agent().table(); },
            [this]() -> const member_record& { return membership_.agent().self(); },
            [this] { return membership_.agent().joined(); },
            [this](const node_id& member, config_version version) {
                if (const auto* known = membership_.agent().table().find(member)) {
                    distributor_.peer_has(known->update.record.peer, version);
                }
            },
            [this] { read_store(); }};
}

relay_role::environment control_plane::relay_environment()
{
    return {environment_.loop,
            environment_.random,
            environment_.store,
            environment_.worker,
            environment_.log,
            [this]() -> const member_record& { return membership_.agent().self(); },
            [this]() -> const member_table& { return membership_.agent().table(); },
            [this]() -> const commit_log& { return distributor_.log(); },
            [this](const log_tail& tail) { take_tail(tail); }};
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

std::unique_ptr<commit_appender> control_plane::make_appender()
{
    if (environment_.orders == nullptr) {
        return std::make_unique<store_commit_appender>(environment_.worker, environment_.loop);
    }
    return std::make_unique<order_appender>(order_appender::environment{
        environment_.worker, environment_.loop, *environment_.orders,
        [this]() -> const directed_documents& { return documents_->documents().documents(); }});
}

std::unique_ptr<document_plane> control_plane::make_documents()
{
    if (environment_.decoder == nullptr) {
        return nullptr;
    }
    return std::make_unique<document_plane>(
        *environment_.decoder, *environment_.orders,
        document_plane::environment{environment_.loop, quota_, environment_.random,
                                    environment_.store, environment_.worker, environment_.network,
                                    environment_.requests, environment_.log, membership_.agent(),
                                    [this](const mesh_state& state) { route_by(state); }});
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
        floors_.keeper().start();
        relay_.start();
    }
    rollouts_.start();
}

void control_plane::leave()
{
    if (documents_) {
        documents_->stop();
    }
    else {
        floors_.keeper().stop();
        relay_.stop();
    }
    rollouts_.stop();
    membership_.agent().leave();
    backend_.stop();
}

void control_plane::route_by(const mesh_state& state)
{
    rollouts_.on_configuration(state);
    publisher_.on_configuration(state);
    membership_.agent().set_head(state.version());
}

outcome<node_state_dump> control_plane::dump()
{
    return query_control<node_state_dump>(environment_.loop, [this] {
        node_state_dump state;
        state.node = settings_.name;
        state.domain = settings_.domain;
        state.version = floors_.keeper().usable();
        state.known_version = distributor_.log().state().version();
        state.floor = floors_.keeper().floor();
        state.floor_known = floors_.keeper().settled();
        state.store_reachable = relay_.store_reachable();
        state.relay = relay_.held();
        state.running = environment_.backend_gate.running();
        state.waiting = environment_.backend_gate.waiting();
        state.members = membership_.agent().table().all();
        return state;
    });
}

outcome<mesh_state> control_plane::configuration()
{
    return query_control<mesh_state>(environment_.loop,
                                     [this] { return distributor_.log().state(); });
}

outcome<std::deque<commit>> control_plane::history()
{
    return query_control<std::deque<commit>>(environment_.loop,
                                             [this] { return distributor_.log().commits(); });
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
    auto heads = heads_.collect(peers, survey_patience);
    heads[settings_.peer] = environment_.tables.current()->version();
    return survey.summarize(heads);
}

void control_plane::announce(const backend_server& backend)
{
    environment_.loop.post([this, backend] { backend_.announce(backend); });
}

outcome<bool> control_plane::take(const backend_announcement& announcement)
{
    return query_control<bool>(environment_.loop,
                               [this, announcement] { return backend_.take(announcement); });
}

outcome<bool> control_plane::withdraw(std::string_view identity)
{
    return query_control<bool>(environment_.loop, [this, gone = std::string{identity}] {
        backend_.withdraw(gone);
        return true;
    });
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
    if (documents_) {
        documents_->on_members_changed();
    }
    publisher_.on_members_changed();
}

void control_plane::on_head_seen(const network_endpoint& peer, config_version head)
{
    if (documents_) {
        documents_->on_head_seen(peer, head);
        return;
    }
    distributor_.peer_has(peer, head);
}

void control_plane::committed(const commit& change)
{
    environment_.loop.post([this, change] {
        distributor_.take_from_store({std::nullopt, {change}, false});
    });
}

void control_plane::on_configuration(const mesh_state& state)
{
    rollouts_.on_configuration(state);
    membership_.agent().set_head(state.version());
    accepted_.insert_or_assign(state.version(), state);
    std::erase_if(accepted_, [this, &state](const auto& item) {
        return item.first != state.version() && item.first != floors_.keeper().putting();
    });
    floors_.keeper().on_log_version(state.version());
    relay_.on_advanced();
}

void control_plane::on_bad_commit(const failure& reason)
{
    relay_.on_bad_commit(reason);
}

void control_plane::on_floor_settled(config_version floor)
{
    environment_.log.write(event_id::floor_known, fmt::format("version {}", floor.number));
}

void control_plane::on_version_usable(config_version version)
{
    const auto found = accepted_.find(version);
    if (found == accepted_.end()) {
        return;
    }
    publisher_.on_configuration(found->second);
    accepted_.erase(accepted_.begin(), found);
    environment_.log.write(event_id::configuration_in_force,
                           fmt::format("version {}", version.number));
}

void control_plane::on_floor_delayed(config_version version)
{
    environment_.log.write(event_id::floor_delayed, fmt::format("version {}", version.number));
}

void control_plane::on_floor_skipped(config_version version)
{
    environment_.log.write(event_id::floor_skipped, fmt::format("version {}", version.number));
}

void control_plane::read_store()
{
    environment_.worker.submit(
        [this, after = distributor_.log().state().version()](object_store& store) {
            auto tail = commit_reader{store}.read_after(after);
            environment_.loop.post([this, item = std::move(tail)] {
                relay_.on_store_health(static_cast<bool>(item));
                if (item) {
                    distributor_.take_quietly(item->batch);
                    floors_.keeper().on_store_head(item->head);
                }
            });
        });
}

void control_plane::take_tail(const log_tail& tail)
{
    distributor_.take_from_store(tail.batch);
    rollouts_.on_rewritten(tail.rewritten, distributor_.log().commits());
    if (tail.fault) {
        relay_.on_bad_commit(*tail.fault);
    }
    floors_.keeper().on_store_head(tail.head);
}

void control_plane::on_backend(const std::optional<backend_server>& backend)
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
