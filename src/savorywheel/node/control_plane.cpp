#include <savorywheel/distribution/commit_keys.hpp>
#include <savorywheel/node/control_plane.hpp>

#include <fmt/format.h>

#include <future>
#include <memory>
#include <utility>

namespace savorywheel {

namespace {

constexpr std::chrono::milliseconds relay_lease_lifetime{3000};
constexpr std::chrono::milliseconds backend_lifetime{3000};
constexpr std::chrono::milliseconds backend_check_period{500};
constexpr std::chrono::milliseconds publish_delay{20};
constexpr std::chrono::milliseconds view_timeout{2000};

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
    : settings_{settings}, environment_{surroundings},
      membership_{make_self(settings, surroundings.loop.time()), settings.seeds,
                  membership_service::environment{surroundings.loop, surroundings.random,
                                                  surroundings.datagrams, surroundings.network,
                                                  surroundings.requests, *this}},
      distributor_{settings.name, settings.domain,
                   distributor::environment{
                       surroundings.loop, surroundings.network, surroundings.requests, *this,
                       [this]() -> const member_table& { return membership_.agent().table(); }}},
      watcher_{surroundings.store, surroundings.random,
               [this](std::vector<commit> commits) {
                   environment_.loop.post(
                       [this, items = std::move(commits)] { distributor_.take_from_store(items); });
               },
               [this](bool reachable) {
                   environment_.loop.post([this, reachable] { on_store_health(reachable); });
               }},
      lease_{relay_lease_key(settings.domain), make_lease(settings),
             lease_keeper::environment{surroundings.loop, surroundings.worker, surroundings.random},
             [this](bool held) { on_relay_lease(held); }}
{
}

void control_plane::start()
{
    membership_.agent().start();
    lease_.start();
    backend_timer_ =
        environment_.loop.timers().every(backend_check_period, [this] { expire_backend(); });
}

void control_plane::leave()
{
    leaving_ = true;
    lease_.stop();
    watcher_.stop();
    membership_.agent().leave();
    backend_timer_.reset();
}

outcome<node_state_dump> control_plane::dump()
{
    return ask<node_state_dump>(environment_.loop, [this] {
        node_state_dump state;
        state.node = settings_.name;
        state.domain = settings_.domain;
        state.version = distributor_.log().state().version();
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
    publish_table();
}

void control_plane::on_head_seen(const network_endpoint& peer, config_version head)
{
    distributor_.peer_has(peer, head);
}

void control_plane::on_configuration(const mesh_state& state)
{
    builder_.set_state(state);
    membership_.agent().set_head(state.version());
    environment_.tables.publish(builder_.build(membership_.agent().table()));
    environment_.log.write(event_id::configuration_in_force,
                           fmt::format("version {}", state.version().number));
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
        watcher_.stop();
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
