#include <savorywheel/distribution/checkpoint_writer.hpp>
#include <savorywheel/distribution/commit_keys.hpp>
#include <savorywheel/distribution/relay_candidates.hpp>
#include <savorywheel/node/node_lease.hpp>
#include <savorywheel/node/relay_role.hpp>

#include <utility>

namespace savorywheel {

namespace {

constexpr std::chrono::milliseconds candidate_period{500};
constexpr std::chrono::milliseconds reread_delay{2000};

} // namespace

relay_role::relay_role(const node_settings& settings, environment env)
    : settings_{settings}, environment_{std::move(env)},
      watcher_{environment_.store, environment_.random,
               [this](log_tail tail) {
                   environment_.loop.post(
                       [this, item = std::move(tail)] { environment_.tail(item); });
               },
               [this](bool reachable) {
                   environment_.loop.post([this, reachable] { on_store_health(reachable); });
               }},
      lease_{
          relay_lease_key(settings.domain), make_node_lease(settings),
          lease_manager::environment{environment_.loop, environment_.worker, environment_.random},
          [this](bool held) { on_lease(held); }}
{
}

void relay_role::start()
{
    candidate_timer_ = environment_.loop.timers().every(candidate_period, [this] { compete(); });
}

void relay_role::stop()
{
    candidate_timer_.reset();
    reread_timer_.reset();
    lease_.stop();
    watcher_.pause();
}

void relay_role::on_advanced()
{
    last_fault_.clear();
    write_checkpoint();
}

void relay_role::on_bad_commit(const failure& reason)
{
    if (std::exchange(last_fault_, reason.message) != reason.message) {
        environment_.log.write(event_id::commit_invalid, reason.message);
    }
    if (lease_.held()) {
        reread_timer_ = environment_.loop.timers().after(
            reread_delay, [this] { watcher_.start(environment_.commits().state().version()); });
    }
}

void relay_role::on_store_health(bool reachable)
{
    if (store_reachable_ == reachable) {
        return;
    }
    store_reachable_ = reachable;
    environment_.log.write(reachable ? event_id::store_reachable : event_id::store_unreachable,
                           to_string(settings_.store));
}

void relay_role::compete()
{
    if (is_relay_candidate(environment_.self(), environment_.members())) {
        lease_.start();
    }
    else if (!lease_.held()) {
        lease_.stop();
    }
}

void relay_role::on_lease(bool held)
{
    environment_.log.write(held ? event_id::relay_lease_gained : event_id::relay_lease_lost,
                           settings_.domain.str());
    if (held) {
        watcher_.start(environment_.commits().state().version());
    }
    else {
        watcher_.pause();
    }
}

void relay_role::write_checkpoint()
{
    const auto& log = environment_.commits();
    const auto version = log.state().version();
    if (!lease_.held() || version.number < checkpointed_.number + checkpoint_interval) {
        return;
    }
    checkpointed_ = {version.number - version.number % checkpoint_interval};
    environment_.worker.submit([point = log.make_checkpoint()](object_store& store) {
        static_cast<void>(checkpoint_writer{store}.write(point));
    });
}

} // namespace savorywheel
