#include <savorywheel/distribution/checkpoint_writer.hpp>
#include <savorywheel/distribution/commit_keys.hpp>
#include <savorywheel/distribution/commit_reader.hpp>
#include <savorywheel/distribution/relay_candidates.hpp>
#include <savorywheel/node/control_plane.hpp>
#include <savorywheel/node/domain_survey.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <future>
#include <memory>
#include <utility>

namespace savorywheel {

namespace {

constexpr std::chrono::milliseconds relay_lease_lifetime{2000};
constexpr std::chrono::milliseconds candidate_period{500};
constexpr std::chrono::milliseconds reread_delay{2000};
constexpr std::size_t max_peer_events = 4096;
constexpr std::size_t max_peer_bytes = 64UL * 1024UL * 1024UL;
constexpr std::chrono::milliseconds backend_lifetime{3000};
constexpr std::chrono::milliseconds backend_check_period{500};
constexpr std::chrono::milliseconds publish_delay{100};
constexpr std::chrono::milliseconds view_timeout{2000};
constexpr std::chrono::milliseconds survey_patience{1000};

member_record make_self(const node_settings& settings, const clock& time)
{
    member_record self;
    self.id = settings.name;
    self.domain = settings.domain;
    self.region = settings.region;
    self.peer = settings.peer;
    const auto since_epoch = time.calendar_now().time_since_epoch();
    self.incarnation = static_cast<std::uint64_t>(since_epoch.count());
    return self;
}

lease_record make_lease(const node_settings& settings)
{
    lease_record record;
    record.holder = settings.name;
    record.peer = settings.peer;
    record.lifetime = relay_lease_lifetime;
    return record;
}

/** Tells whether the node was given no other peer to join through. */
bool is_alone(const node_settings& settings)
{
    return std::ranges::all_of(settings.seeds,
                               [&](const auto& seed) { return seed == settings.peer; });
}

/** Runs a function on the control thread and waits for what it returns. */
template<typename Result, typename Function>
outcome<Result> ask(control_loop& loop, Function function)
{
    const auto promise = std::make_shared<std::promise<Result>>();
    auto result = promise->get_future();
    loop.post([promise, function] { promise->set_value(function()); });
    if (result.wait_for(view_timeout) != std::future_status::ready) {
        return failure{failure_code::timeout, "the control thread does not answer"};
    }
    return result.get();
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
      membership_{make_self(settings, surroundings.loop.time()), settings.seeds,
                  membership_environment()},
      distributor_{settings.name, settings.domain, distribution_environment()},
      floors_{is_alone(settings), floor_environment()},
      watcher_{surroundings.store, surroundings.random,
               [this](log_tail tail) {
                   environment_.loop.post([this, item = std::move(tail)] { take_tail(item); });
               },
               [this](bool reachable) {
                   environment_.loop.post([this, reachable] { on_store_health(reachable); });
               }},
      lease_{relay_lease_key(settings.domain), make_lease(settings),
             lease_keeper::environment{surroundings.loop, surroundings.worker, surroundings.random},
             [this](bool held) { on_relay_lease(held); }},
      rollouts_{make_lease(settings),
                rollout_service::environment{
                    surroundings.loop, surroundings.random, surroundings.worker,
                    surroundings.network, surroundings.log, surroundings.evidence,
                    surroundings.ejections,
                    [this]() -> const member_table& { return membership_.agent().table(); }}},
      heads_{surroundings.tables, surroundings.network, surroundings.requests}
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

void control_plane::start()
{
    membership_.agent().start();
    floors_.keeper().start();
    candidate_timer_ =
        environment_.loop.timers().every(candidate_period, [this] { compete_for_lease(); });
    rollouts_.start();
    backend_timer_ =
        environment_.loop.timers().every(backend_check_period, [this] { expire_backend(); });
}

void control_plane::leave()
{
    leaving_ = true;
    candidate_timer_.reset();
    reread_timer_.reset();
    floors_.keeper().stop();
    lease_.stop();
    rollouts_.stop();
    watcher_.pause();
    membership_.agent().leave();
    backend_timer_.reset();
}

outcome<node_state_dump> control_plane::dump()
{
    return ask<node_state_dump>(environment_.loop, [this] {
        node_state_dump state;
        state.node = settings_.name;
        state.domain = settings_.domain;
        state.version = floors_.keeper().usable();
        state.known_version = distributor_.log().state().version();
        state.floor = floors_.keeper().floor();
        state.floor_known = floors_.keeper().settled();
        state.store_reachable = store_reachable_;
        state.relay = lease_.held();
        state.running = environment_.backend_gate.running();
        state.waiting = environment_.backend_gate.waiting();
        state.members = membership_.agent().table().all();
        return state;
    });
}

outcome<mesh_state> control_plane::configuration()
{
    return ask<mesh_state>(environment_.loop, [this] { return distributor_.log().state(); });
}

outcome<std::deque<commit>> control_plane::history()
{
    return ask<std::deque<commit>>(environment_.loop,
                                   [this] { return distributor_.log().commits(); });
}

outcome<std::vector<domain_status>> control_plane::domains()
{
    const auto members = ask<std::vector<member_update>>(
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
    environment_.loop.post([this, backend] {
        backend_seen_at_ = environment_.loop.time().now();
        if (!leaving_ && backend_ != backend) {
            environment_.log.write(event_id::backend_announced,
                                   fmt::format("{} {} {}", backend.service.str(),
                                               backend.version.str(), to_string(backend.state)));
            set_backend(backend);
        }
    });
}

void control_plane::on_member_changed(const member_update& update)
{
    environment_.meter.set_region(update.record.peer.address, update.record.region);
    if (update.record.id != settings_.name) {
        environment_.log.write(event_of(update.status), update.record.id.str());
    }
    rollouts_.on_members_changed();
    publish_table();
}

void control_plane::on_head_seen(const network_endpoint& peer, config_version head)
{
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
    last_fault_.clear();
    rollouts_.on_configuration(state);
    membership_.agent().set_head(state.version());
    accepted_.insert_or_assign(state.version(), state);
    std::erase_if(accepted_, [this, &state](const auto& item) {
        return item.first != state.version() && item.first != floors_.keeper().putting();
    });
    floors_.keeper().on_log_version(state.version());
    write_checkpoint();
}

void control_plane::on_bad_commit(const failure& reason)
{
    if (std::exchange(last_fault_, reason.message) != reason.message) {
        environment_.log.write(event_id::commit_faulty, reason.message);
    }
    if (lease_.held()) {
        reread_timer_ = environment_.loop.timers().after(
            reread_delay, [this] { watcher_.start(distributor_.log().state().version()); });
    }
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
    builder_.set_state(found->second);
    accepted_.erase(accepted_.begin(), found);
    environment_.tables.publish(builder_.build(membership_.agent().table()));
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
                on_store_health(static_cast<bool>(item));
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
        on_bad_commit(*tail.fault);
    }
    floors_.keeper().on_store_head(tail.head);
}

void control_plane::write_checkpoint()
{
    const auto version = distributor_.log().state().version();
    if (!lease_.held() || version.number < checkpointed_.number + checkpoint_interval) {
        return;
    }
    checkpointed_ = {version.number - version.number % checkpoint_interval};
    environment_.worker.submit([point = distributor_.log().make_checkpoint()](object_store& store) {
        static_cast<void>(checkpoint_writer{store}.write(point));
    });
}

void control_plane::compete_for_lease()
{
    if (is_relay_candidate(membership_.agent().self(), membership_.agent().table())) {
        lease_.start();
    }
    else if (!lease_.held()) {
        lease_.stop();
    }
}

void control_plane::publish_table()
{
    if (std::exchange(publish_pending_, true)) {
        return;
    }
    publish_timer_ = environment_.loop.timers().after(publish_delay, [this] {
        publish_pending_ = false;
        environment_.tables.publish(builder_.build(membership_.agent().table()));
    });
}

void control_plane::set_backend(std::optional<backend_server> backend)
{
    backend_ = std::move(backend);
    environment_.backend_gate.set_backend(backend_);
    auto record = membership_.agent().self();
    record.service = backend_ ? backend_->service : service_name{};
    record.version = backend_ ? backend_->version : version_name{};
    record.state = backend_ ? backend_->state : server_state::absent;
    record.slots = backend_ ? backend_->slots : 0;
    membership_.agent().update_self(std::move(record));
}

void control_plane::expire_backend()
{
    if (backend_ && environment_.loop.time().now() - backend_seen_at_ > backend_lifetime) {
        environment_.log.write(event_id::backend_lost, backend_->service.str());
        set_backend(std::nullopt);
    }
}

void control_plane::on_relay_lease(bool held)
{
    environment_.log.write(held ? event_id::relay_lease_gained : event_id::relay_lease_lost,
                           settings_.domain.str());
    if (held) {
        watcher_.start(distributor_.log().state().version());
    }
    else {
        watcher_.pause();
    }
}

void control_plane::on_store_health(bool reachable)
{
    if (store_reachable_ == reachable) {
        return;
    }
    store_reachable_ = reachable;
    environment_.log.write(reachable ? event_id::store_reachable : event_id::store_unreachable,
                           to_string(settings_.store));
}

} // namespace savorywheel
